/**
 * Recorded traces: JSON lines, the first the fleet, each other a request or a fault.
 *
 * Times are milliseconds from the start, lengths tokens.
 */
import {readFile} from 'node:fs/promises';
import * as z from 'zod';

const fleetSchema = z.object({
	kind: z.literal('fleet'),
	engines: z.int().positive(),
	/** Tokens of memory of each engine. */
	capacity: z.int().positive(),
	/** Prompt tokens an engine reads a second. */
	prefillRate: z.number().positive(),
	/** Milliseconds between two tokens of an answer. */
	tokenInterval: z.number().positive(),
	/** Agreed shares of the partners. */
	shares: z.record(z.string(), z.number().positive()),
	/** Policy programs of the partners. */
	policies: z.record(z.string(), z.record(z.string(), z.string())).default({}),
});

const requestSchema = z.object({
	kind: z.literal('request'),
	at: z.number().min(0),
	partner: z.string(),
	organisation: z.string(),
	service: z.string(),
	promptTokens: z.int().positive(),
	/** Prefix that the prompt shares with others: a template or system prompt. */
	sharedPrefix: z.object({id: z.string(), tokens: z.int().positive()}).optional(),
	outputTokens: z.int().positive(),
	/** Time bound in milliseconds. */
	bound: z.int().positive(),
	isRepeatable: z.boolean(),
});

const faultSchema = z.object({
	kind: z.literal('engine_dies'),
	at: z.number().min(0),
	/** Index of the engine. */
	engine: z.int().min(0),
	/** Milliseconds after which it is back, with nothing in its cache. */
	backAfter: z.number().positive(),
});

const lineSchema = z.discriminatedUnion('kind', [fleetSchema, requestSchema, faultSchema]);

/** The fleet that a trace is replayed on. */
export type TraceFleet = z.infer<typeof fleetSchema>;
/** One request of a trace. */
export type TraceRequest = z.infer<typeof requestSchema>;
/** An engine that dies. */
export type TraceFault = z.infer<typeof faultSchema>;

/** A whole trace. */
export type Trace = {
	fleet: TraceFleet;
	requests: TraceRequest[];
	faults: TraceFault[];
};

/** Reads a trace file; throws with the line that is wrong. */
export async function readTrace(path: string): Promise<Trace> {
	return parseTrace(await readFile(path, 'utf8'));
}

/** Reads the text of a trace; throws with the line that is wrong. */
export function parseTrace(text: string): Trace {
	const requests: TraceRequest[] = [];
	const faults: TraceFault[] = [];
	let fleet: TraceFleet | undefined;
	for (const [index, line] of text.split('\n').entries()) {
		if (line.trim() === '') {
			continue;
		}

		const entry = parseLine(line, index + 1);
		if (entry.kind === 'request') {
			requests.push(entry);
		} else if (entry.kind === 'fleet') {
			fleet = entry;
		} else {
			faults.push(entry);
		}
	}

	if (fleet === undefined) {
		throw new Error('the trace has no line of kind "fleet"; add one as its first line');
	}

	return {fleet, requests, faults};
}

/** Writes a trace as text. */
export function formatTrace(trace: Trace): string {
	return `${[trace.fleet, ...trace.faults, ...trace.requests].map(entry => JSON.stringify(entry)).join('\n')}\n`;
}

function parseLine(line: string, number: number): z.infer<typeof lineSchema> {
	try {
		return lineSchema.parse(JSON.parse(line));
	} catch (error) {
		const issue = error instanceof z.ZodError ? `${error.issues[0].path.join('.')}: ${error.issues[0].message}` : 'not JSON';
		throw new Error(`line ${number} of the trace: ${issue}`, {cause: error});
	}
}
