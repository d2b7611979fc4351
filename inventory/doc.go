// Package inventory holds what operators declare: failure domains, models,
// engines, services, workspaces with their keys, rules, endpoint states and the
// bounds of the planner.
//
// Parse reads the YAML form strictly and reports all faults at once. Compile
// makes the immutable form that the data path reads. Split cuts an inventory
// into parts that fit into the store, under a Manifest; Join puts them together
// again. Rates are in tokens per second, sizes in tokens, prices in units per
// hour; each carries its unit in the text.
package inventory
