/** Starts the programs that a bench measures, as processes of their own on loopback. */
import {spawn, type ChildProcess} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {hashSecret} from '../src/common/index.js';

const program = 'dist/cresshook.cjs';
const ticksPerSecond = 100;

/** A program that was started. */
export type StartedProcess = {
	child: ChildProcess;
	pid: number;
};

/** Starts and stops the processes of one bench. */
export class BenchProcesses {
	readonly #started: ChildProcess[] = [];
	readonly #folder = mkdtempSync(path.join(tmpdir(), 'cresshook-bench-'));

	/** Starts a stand-in and returns its address. */
	async startStandin(...words: string[]): Promise<StartedProcess & {url: string}> {
		const started = this.start(['standin', ...words]);
		const line = await readLine(started.child, text => text.includes('"url"'));
		return {...started, url: (JSON.parse(line) as {url: string}).url};
	}

	/** Starts a node and returns its addresses once it listens. */
	async startNode(box: string, platformUrl: string, more = ''): Promise<StartedProcess & {callers: string; operators: string}> {
		const file = this.writeFile(`${box}.toml`, `
			box = "${box}"
			region = "sic-east"
			availability_zone = "catania-a"
			callers = {host = "127.0.0.1"}
			operators = {host = "127.0.0.1", teams = [{partner = "meteotessera", token_hash = "${hashSecret('bench')}"}]}
			nodes = {host = "127.0.0.1", secret = "a-secret-of-the-bench"}
			platform = {url = "${platformUrl}"}
			${more}
		`);
		const started = this.start(['node', '--settings', file]);
		const line = await readLine(started.child, text => text.includes('node_listening'));
		await readLine(started.child, text => text.includes('node_ready'));
		started.child.stdout?.resume();
		return {...started, ...JSON.parse(line) as {callers: string; operators: string}};
	}

	/** Starts the program with words. */
	start(words: string[]): StartedProcess {
		return this.startProgram([program, ...words]);
	}

	/** Starts a program of Node.js: its flags, its file and its words. */
	startProgram(words: string[]): StartedProcess {
		const child = spawn(process.execPath, words, {stdio: ['ignore', 'pipe', 'inherit']});
		this.#started.push(child);
		return {child, pid: child.pid!};
	}

	/** Writes a file that lasts as long as the bench. */
	writeFile(name: string, text: string): string {
		const file = path.join(this.#folder, name);
		writeFileSync(file, text);
		return file;
	}

	/** Ends everything. */
	stop(): void {
		for (const child of this.#started) {
			child.kill('SIGKILL');
		}

		rmSync(this.#folder, {recursive: true});
	}
}

/** Processor seconds a process has used. */
export function readProcessorSeconds(pid: number): number {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ');
	return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

/** Resident memory of a process in mebibytes. */
export function readResidentMebibytes(pid: number): number {
	const line = readFileSync(`/proc/${pid}/status`, 'utf8').split('\n').find(text => text.startsWith('VmRSS')) ?? '';
	return Number(/\d+/.exec(line)?.[0] ?? 0) / 1024;
}

async function readLine(child: ChildProcess, isWanted: (line: string) => boolean): Promise<string> {
	const lines = createInterface({input: child.stdout!});
	for await (const line of lines) {
		if (isWanted(line)) {
			return line;
		}
	}

	throw new Error('the process ended before it was ready');
}
