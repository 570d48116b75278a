package contractfile

import (
	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/finding"
	"github.com/crocushinge/crocushinge/finding/yamlfile"
)

// drainDocument is the YAML form of a drain.
type drainDocument struct {
	Kind    string `yaml:"kind"`
	Service string `yaml:"service"`
	Target  string `yaml:"target"`
	Reason  string `yaml:"reason"`
}

func (f *File) readDrain(doc *yamlfile.Document, opts yamlfile.Options) (*contract.Drain, finding.List) {
	var d drainDocument
	var findings finding.List
	f.positions, findings = doc.Decode(&d, opts)
	return &contract.Drain{Service: d.Service, Target: d.Target, Reason: d.Reason}, findings
}

// EncodeDrain returns the YAML document of a drain, which Parse accepts.
func EncodeDrain(d contract.Drain) ([]byte, error) {
	data, err := yaml.Marshal(drainDocument{Kind: kindDrain, Service: d.Service, Target: d.Target, Reason: d.Reason})
	return data, errors.Wrap(err, "encode drain")
}
