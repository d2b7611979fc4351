// Package triage decides, while the engines of a service are overloaded, which prompts go ahead of
// others at an engine and which are refused at once. It is pure: it does no I/O, reads no clock and
// knows no board of endpoints. Its inputs are the forecast for each prompt, what became of the
// prompts that this VM sent before, and what each workspace has sent.
//
// The load that it handles: more long prompts than can be prefilled in time, short prompts that
// share the engines with them, a workspace that sends many times its usual rate, and callers that
// come back at once after a refusal. A prompt whose forecast meets the objective, on a service whose
// forecasts meet it, is sent as it would be without the package, except that one of a workspace that
// sends far more than is usual goes behind those of others.
package triage
