/** Stated outcomes of a trace: a TOML file beside it says what its measures must be. */
import {readFile} from 'node:fs/promises';
import {parse} from 'smol-toml';
import * as z from 'zod';
import type {Measures} from './measures.js';

const outcomesSchema = z.strictObject({
	outcome: z.array(z.strictObject({
		/** Path of a measure, for example `shortFirstToken.p95`. */
		measure: z.string(),
		least: z.number().optional(),
		most: z.number().optional(),
	})),
});

/** One stated outcome. */
export type Outcome = z.infer<typeof outcomesSchema>['outcome'][number];

/** The file with the outcomes of a trace. */
export function findOutcomesPath(tracePath: string): string {
	return tracePath.replace(/\.jsonl$/, '.outcomes.toml');
}

/** Reads the outcomes beside a trace; none where there is no such file. */
export async function readOutcomes(tracePath: string): Promise<Outcome[]> {
	let text: string;
	try {
		text = await readFile(findOutcomesPath(tracePath), 'utf8');
	} catch {
		return [];
	}

	return outcomesSchema.parse(parse(text)).outcome;
}

/** Says which outcomes the measures fall short of, a line each. */
export function listShortfalls(measures: Measures, outcomes: Outcome[]): string[] {
	return outcomes.flatMap(outcome => {
		const value = readMeasure(measures, outcome.measure);
		if (value === undefined) {
			return [`${outcome.measure}: there is no such measure; see \`cresshook replay --json\``];
		}

		const isShort = !(value >= (outcome.least ?? Number.NEGATIVE_INFINITY) && value <= (outcome.most ?? Number.POSITIVE_INFINITY));
		const wanted = [outcome.least === undefined ? '' : `at least ${outcome.least}`, outcome.most === undefined ? '' : `at most ${outcome.most}`].filter(part => part !== '').join(' and ');
		return isShort ? [`${outcome.measure} is ${value.toPrecision(4)}, stated ${wanted}`] : [];
	});
}

function readMeasure(measures: Measures, path: string): number | undefined {
	let value: unknown = measures;
	for (const part of path.split('.')) {
		value = (value as Record<string, unknown> | undefined)?.[part];
	}

	return typeof value === 'number' ? value : undefined;
}
