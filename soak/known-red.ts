/** Broken promises that are known: entries of `KNOWN-RED.txt` whose first field is `soak seed SEED: PROMISE`. */
import type {Violation} from './records.js';

/** Returns the entries of a list for violations of a seed, and the violations without an entry. */
export function matchKnown(list: string, seed: number, violations: Violation[]): {known: string[]; unknown: Violation[]} {
	const lines = list.split('\n').map(line => ({line, name: line.split('|')[0].trim()}));
	const findLine = ({promise}: Violation) => lines.find(({name}) => name === `soak seed ${seed}: ${promise}`)?.line;
	const known = violations.flatMap(violation => findLine(violation) ?? []);
	return {known: [...new Set(known)], unknown: violations.filter(violation => findLine(violation) === undefined)};
}
