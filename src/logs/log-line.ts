/** One line of a gateway's log, as operators hold it: JSON, alone or after a time in seconds and the name of who wrote it. */

/** A line that tells an event. */
export type LogLine = {
	event: string;
	/** Milliseconds: of wall time, or since the start of the collector that put its own time before the line. */
	at: number;
	/** Wall time of the node that wrote it, in milliseconds; undefined when the line tells none. */
	writtenAt?: number;
	/** Who wrote it: the name before the line, or the file's. */
	writer: string;
	/** All fields of the line. */
	fields: Readonly<Record<string, unknown>>;
};

/** A time in seconds and a name, before the line itself. */
const prefixPattern = /^\s*(?<seconds>-?\d+(?:\.\d+)?)\s+(?<writer>\S+)\s+(?<json>{.*)$/;

/** Reads one line; undefined when it tells no event, such as one that was cut off. */
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

/** A field that is a number. */
export function findNumber({fields}: LogLine, name: string): number | undefined {
	const value = fields[name];
	return typeof value === 'number' ? value : undefined;
}

/** A field that is a text. */
export function findText({fields}: LogLine, name: string): string | undefined {
	const value = fields[name];
	return typeof value === 'string' ? value : undefined;
}

/** A field that is a list of texts; empty when there is none. */
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
