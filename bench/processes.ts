/** Starts the programs under measurement as separate processes on loopback. */
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
/** Unit of CPU time in `/proc/PID/stat` (USER_HZ). */
const ticksPerSecond = 100;

/** A started child process. */
export type StartedProcess = {
	child: ChildProcess;
	pid: number;
};

/** Starts and stops the processes of one benchmark. */
export class BenchProcesses {
	readonly #started: ChildProcess[] = [];
	readonly #folder = mkdtempSync(path.join(tmpdir(), 'cresshook-bench-'));

	/** Starts a simulated service and returns its base URL. */
	async startStandin(...args: string[]): Promise<StartedProcess & {url: string}> {
		const started = this.start(['standin', ...args]);
		const line = await readLine(started.child, text => text.includes('"url"'));
		return {...started, url: (JSON.parse(line) as {url: string}).url};
	}

	/** Starts a node and returns its base URLs once it is ready. */
	async startNode(box: string, platformUrl: string, extraSettings = ''): Promise<StartedProcess & {callers: string; operators: string}> {
		const file = this.writeFile(`${box}.toml`, `
			box = "${box}"
			region = "sic-east"
			availability_zone = "catania-a"
			callers = {host = "127.0.0.1"}
			operators = {host = "127.0.0.1", teams = [{partner = "meteotessera", token_hash = "${hashSecret('bench')}"}]}
			nodes = {host = "127.0.0.1", secret = "a-secret-of-the-bench"}
			platform = {url = "${platformUrl}"}
			${extraSettings}
		`);
		const started = this.start(['node', '--settings', file]);
		const line = await readLine(started.child, text => text.includes('node_listening'));
		await readLine(started.child, text => text.includes('node_ready'));
		started.child.stdout?.resume();
		return {...started, ...JSON.parse(line) as {callers: string; operators: string}};
	}

	/** Starts the built command-line program with arguments. */
	start(args: string[]): StartedProcess {
		return this.startProgram([program, ...args]);
	}

	/** Starts Node.js with its flags, the script and the arguments of the script. */
	startProgram(args: string[]): StartedProcess {
		const child = spawn(process.execPath, args, {stdio: ['ignore', 'pipe', 'inherit']});
		this.#started.push(child);
		return {child, pid: child.pid!};
	}

	/** Writes a temporary file, which `stop` removes. */
	writeFile(name: string, text: string): string {
		const file = path.join(this.#folder, name);
		writeFileSync(file, text);
		return file;
	}

	/** Kills all processes and removes the temporary files. */
	stop(): void {
		for (const child of this.#started) {
			child.kill('SIGKILL');
		}

		rmSync(this.#folder, {recursive: true});
	}
}

/** CPU time used by a process so far, in seconds. */
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
