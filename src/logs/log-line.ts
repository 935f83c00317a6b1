/** Parses lines of a gateway's log: JSON, with an optional prefix of a time in seconds and the name of the writer. */

/** A log line with an event. */
export type LogLine = {
	event: string;
	/** Milliseconds of wall time, or since the start of the log collector that added its time as a prefix. */
	at: number;
	/** Wall time of the node that wrote the line, in milliseconds; undefined if the line has none. */
	writtenAt?: number;
	/** Name of the writer, from the prefix or else from the file name. */
	writer: string;
	/** All fields of the line. */
	fields: Readonly<Record<string, unknown>>;
};

/** Matches a line with a prefix of a time in seconds and a name. */
const prefixPattern = /^\s*(?<seconds>-?\d+(?:\.\d+)?)\s+(?<writer>\S+)\s+(?<json>{.*)$/;

/** Parses one line; undefined if it has no event, for example because it is truncated. */
export function parseLogLine(text: string, writer: string): LogLine | undefined {
	const {seconds, writer: named, json} = prefixPattern.exec(text)?.groups ?? {};
	const fields = parseObject(json ?? text);
	if (typeof fields?.event !== 'string') {
		return undefined;
	}

	const time = Date.parse(String(fields.time));
	const writtenAt = Number.isNaN(time) ? undefined : time;
	return {
		event: fields.event,
		at: seconds === undefined ? writtenAt ?? 0 : Number(seconds) * 1000,
		writtenAt,
		writer: named ?? writer,
		fields,
	};
}

/** Returns a field if it is a number. */
export function findNumber({fields}: LogLine, name: string): number | undefined {
	const value = fields[name];
	return typeof value === 'number' ? value : undefined;
}

/** Returns a field if it is a string. */
export function findText({fields}: LogLine, name: string): string | undefined {
	const value = fields[name];
	return typeof value === 'string' ? value : undefined;
}

/** Returns the strings of an array field; empty if there is none. */
export function listTexts({fields}: LogLine, name: string): string[] {
	const value = fields[name];
	return Array.isArray(value) ? value.filter(item => typeof item === 'string') : [];
}

function parseObject(text: string): Record<string, unknown> | undefined {
	const trimmed = text.trim();
	if (!trimmed.startsWith('{')) {
		return undefined;
	}

	try {
		return JSON.parse(trimmed) as Record<string, unknown>;
	} catch {
		return undefined;
	}
}
