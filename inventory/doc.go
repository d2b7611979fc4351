// Package inventory holds the configuration of the fleet as operators declare it:
// failure domains, models, engines, services, workspaces with their API keys,
// rules, endpoint states and the limits of the planner.
//
// Parse reads the YAML text, rejects unknown fields and reports all faults at once.
// Compile builds the immutable Directory in which requests are looked up. Split
// divides an inventory into parts that fit into the store's values and lists them
// in a Manifest; Join reassembles the inventory from them. Rates are in tokens per
// second, token counts in tokens, prices in cost units per hour; in the YAML text
// each value is followed by its unit.
package inventory
