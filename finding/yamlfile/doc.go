// Package yamlfile decodes YAML files into structs. It reports all problems in a
// file together, each with its line, its column and a way to correct it.
//
// Struct fields are matched by the tag `yaml:"name"`. A struct that needs defaults
// implements Defaulter. Fields may be of type string, bool, int, uint64, float64,
// time.Duration, Size, structs, slices of these, and types derived from string.
package yamlfile
