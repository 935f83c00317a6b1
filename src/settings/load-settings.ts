/** Parses and validates TOML settings files. */
import {readFile} from 'node:fs/promises';
import {Either, Left, Right} from 'purify-ts';
import {parse, TomlError} from 'smol-toml';
import type {z} from 'zod';
import {readErrorMessage} from '../common/index.js';
import {settingsSchema, type SettingsFile} from './schema.js';
import type {Settings} from './settings.js';

/** A validation error in a settings file. */
export type SettingsProblem = {
	/** Dotted key as written in the file; empty if the problem concerns the whole file. */
	key: string;
	/** The value found, truncated; `(hidden)` for secrets. */
	value: string;
	/** What to write instead. */
	mend: string;
};

const maxShownLength = 60;
const secretKeys = new Set(['secret', 'token_hash']);

/** Reads and validates a settings file. */
export async function loadSettings(path: string): Promise<Either<SettingsProblem[], Settings>> {
	try {
		return parseSettings(await readFile(path, 'utf8'));
	} catch (error) {
		return Left([{key: '', value: path, mend: `give the path of a file that can be read: ${readErrorMessage(error)}`}]);
	}
}

/** Parses and validates the text of a settings file. */
export function parseSettings(text: string): Either<SettingsProblem[], Settings> {
	return checkToml(text, settingsSchema).map(file => convertSettings(file));
}

/** Parses TOML and validates it against a schema; each problem says how to fix it. */
export function checkToml<Shape>(text: string, schema: z.ZodType<Shape>): Either<SettingsProblem[], Shape> {
	const parsed = Either.encase(() => parse(text)).mapLeft(error => [describeTomlError(error)]);
	return parsed.chain(table => {
		const checked = schema.safeParse(table);
		if (checked.success) {
			return Right(checked.data);
		}

		return Left(checked.error.issues.flatMap(issue => describeIssue(issue, table)));
	});
}

/** Formats a problem as one line of text. */
export function formatProblem(problem: SettingsProblem): string {
	const where = problem.key === '' ? 'settings' : problem.key;
	return `${where} = ${problem.value}: ${problem.mend}`;
}

function describeTomlError(error: Error): SettingsProblem {
	const line = error instanceof TomlError ? `line ${error.line}, column ${error.column}` : '(file)';
	return {key: '', value: line, mend: `write valid TOML: ${error.message.split('\n')[0]}`};
}

function describeIssue(issue: z.core.$ZodIssue, table: unknown): SettingsProblem[] {
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => ({
			key: [...issue.path, key].join('.'),
			value: formatValue(key, readPath(table, [...issue.path, key])),
			mend: 'take this key out, or correct its spelling; docs/SETTINGS.md lists the keys',
		}));
	}

	// A check across several keys may fail on a key that was omitted and has its default.
	const value: unknown = readPath(table, issue.path) ?? (issue.code === 'custom' ? issue.params?.value : undefined);
	const mend = value === undefined ? `add this key: ${issue.message}` : issue.message;
	return [{key: issue.path.join('.'), value: formatValue(String(issue.path.at(-1)), value), mend}];
}

function readPath(table: unknown, path: PropertyKey[]): unknown {
	let value: unknown = table;
	for (const key of path) {
		value = (value as Record<PropertyKey, unknown> | undefined)?.[key];
	}

	return value;
}

function formatValue(key: string, value: unknown): string {
	if (value === undefined) {
		return '(missing)';
	}

	if (secretKeys.has(key)) {
		return '(hidden)';
	}

	const text = JSON.stringify(value);
	return text.length > maxShownLength ? `${text.slice(0, maxShownLength)}…` : text;
}

function convertSettings(file: SettingsFile): Settings {
	return {
		box: file.box,
		region: file.region,
		availabilityZone: file.availability_zone,
		callers: file.callers,
		operators: {
			host: file.operators.host,
			port: file.operators.port,
			teams: file.operators.teams.map(team => ({partner: team.partner, tokenHash: team.token_hash})),
		},
		nodes: file.nodes,
		platform: file.platform,
		entry: {
			addressLifetimeSeconds: file.entry.address_lifetime_seconds,
			runKeyLifetimeSeconds: file.entry.run_key_lifetime_seconds,
			bodyLimitMebibytes: file.entry.body_limit_mebibytes,
			heldBodiesMebibytes: file.entry.held_bodies_mebibytes,
			keptOutcomesMebibytes: file.entry.kept_outcomes_mebibytes,
			requestLimit: file.entry.request_limit,
			retryShare: file.entry.retry_share,
		},
		log: file.log,
		metrics: file.metrics,
	};
}
