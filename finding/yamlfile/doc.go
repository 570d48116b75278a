// Package yamlfile decodes YAML files into structs and reports every fault of
// a file together, each with its line, its column and the way to mend it.
//
// A struct's fields carry the tag `yaml:"name"`. A struct that needs defaults
// implements Defaulter. The types that a field may have are string, bool, int,
// uint64, float64, time.Duration, Size, structs, slices of these, and types
// derived from string.
package yamlfile
