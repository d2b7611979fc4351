// Package strict reads YAML documents that people write. It accepts one document
// without aliases, anchors or explicit tags, and reports every fault of the
// document at once, in line order, with the file, the line, the field and the
// accepted values. Packages inventory and settings are built on it.
package strict
