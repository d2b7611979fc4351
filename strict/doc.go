// Package strict parses YAML files that are written by hand. It accepts one document
// per file without aliases, anchors or explicit tags. It reports all faults of the
// document at once, in line order, each with the file, the line, the field and the
// accepted values. Packages inventory and settings use it.
package strict
