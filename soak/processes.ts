/** Starts and stops the processes of a run and exchanges lines with them. */
import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, readFileSync, type WriteStream} from 'node:fs';
import {constants} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {pause} from './link.js';

/** Time within which a process must report its address, in milliseconds. */
const startLimit = 15_000;

/** Interval for checking whether a process handles signals, in milliseconds. */
const handlersPoll = 3;

/** Signals that ask a process to end. */
const endingSignals = new Set<NodeJS.Signals>(['SIGTERM', 'SIGINT', 'SIGKILL']);

/** Program, arguments, and environment variables added to those of the soak. */
type SoakCommand = {program: string; words: string[]; environment: Record<string, string>};

/** A child process whose output goes to a log file. */
export class SoakProcess {
	/** Settles when the process has ended. */
	readonly ended: Promise<true>;
	readonly #child: ChildProcess;
	readonly #log: WriteStream;
	#isEnded = false;
	#wasAskedToEnd = false;
	#exit = '';
	#onLine: ((line: Record<string, unknown>) => void) | undefined;

	constructor(command: SoakCommand, logFile: string, onEnd: (ended: SoakProcess) => void) {
		const {program, words, environment} = command;
		this.#child = spawn(process.execPath, [program, ...words], {stdio: ['pipe', 'pipe', 'pipe'], env: {...process.env, ...environment}});
		this.#log = createWriteStream(logFile, {flags: 'a'});
		this.#child.stderr!.pipe(this.#log, {end: false});
		// Writing to a process that has ended fails; the message no longer matters.
		this.#child.stdin!.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
		createInterface({input: this.#child.stdout!}).on('line', line => {
			this.#log.write(`${line}\n`);
			this.#onLine?.(readJson(line));
		});
		this.ended = new Promise(resolve => {
			this.#child.once('exit', (code, signal) => {
				this.#isEnded = true;
				this.#exit = signal ?? `code ${code}`;
				onEnd(this);
				resolve(true);
			});
		});
	}

	get isEnded(): boolean {
		return this.#isEnded;
	}

	/** Exit code, or the signal that ended the process; empty while it runs. */
	get exit(): string {
		return this.#exit;
	}

	/** Whether a signal has asked the process to end. */
	get wasAskedToEnd(): boolean {
		return this.#wasAskedToEnd;
	}

	/** Sets the callback for each line that the process prints. */
	listen(onLine: (line: Record<string, unknown>) => void): void {
		this.#onLine = onLine;
	}

	/** Waits for the first line that matches; rejects when the process ends or the start times out. */
	async waitForLine(isWanted: (line: Record<string, unknown>) => boolean): Promise<Record<string, unknown>> {
		const onLine = this.#onLine;
		return new Promise((resolve, reject) => {
			const timer = setTimeout(() => {
				reject(new Error(`process ${this.#child.pid} did not start in ${startLimit} ms`));
			}, startLimit);
			this.#child.once('exit', () => {
				clearTimeout(timer);
				reject(new Error(`process ${this.#child.pid} ended before it had started`));
			});
			this.#onLine = line => {
				onLine?.(line);
				if (isWanted(line)) {
					clearTimeout(timer);
					this.#onLine = onLine;
					resolve(line);
				}
			};
		});
	}

	/** Sends a signal. */
	signal(name: NodeJS.Signals): void {
		if (!this.#isEnded) {
			this.#wasAskedToEnd ||= endingSignals.has(name);
			this.#child.kill(name);
		}
	}

	/** Waits until the process handles SIGHUP, which would end it before, or has ended. */
	async waitForHandlers(): Promise<void> {
		while (!this.#isEnded && !handlesSignal(this.#child.pid!, constants.signals.SIGHUP)) {
			await pause(handlersPoll);
		}
	}

	/** Writes a JSON line to standard input. */
	send(order: Record<string, unknown>): void {
		this.#child.stdin!.write(`${JSON.stringify(order)}\n`);
	}

	/** Kills the process, even when it is paused, and waits until it has ended. */
	async kill(): Promise<void> {
		this.signal('SIGKILL');
		await this.ended;
		this.#log.end();
	}
}

/** Signals that terminate a soak; by default they would leave its child processes running. */
const endSignals = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;

/** Starts processes that log into one folder, and kills them on `stop` and when this process ends, except by SIGKILL. */
export class Processes {
	readonly #folder: string;
	readonly #all = new Set<SoakProcess>();
	#isOver = false;

	constructor(folder: string) {
		this.#folder = folder;
		process.once('exit', this.#killAll);
		for (const name of endSignals) {
			process.once(name, this.#exit);
		}
	}

	/** Starts a program that logs to `name`.log. Throws after `stop`, so that pending work starts no new process. */
	start(name: string, program: string, words: string[], environment: Record<string, string> = {}): SoakProcess {
		if (this.#isOver) {
			throw new Error(`the run is over, ${name} is not started`);
		}

		const started = new SoakProcess({program, words, environment}, path.join(this.#folder, `${name}.log`), ended => {
			this.#all.delete(ended);
		});
		this.#all.add(started);
		return started;
	}

	/** Number of running processes. */
	get count(): number {
		return this.#all.size;
	}

	/** Kills all processes and allows no new ones. */
	async stop(): Promise<void> {
		this.#isOver = true;
		await Promise.all([...this.#all].map(async started => started.kill()));
		process.off('exit', this.#killAll);
		for (const name of endSignals) {
			process.off(name, this.#exit);
		}
	}

	readonly #killAll = () => {
		for (const started of this.#all) {
			started.signal('SIGKILL');
		}
	};

	readonly #exit = () => {
		process.exit(1); // eslint-disable-line unicorn/no-process-exit -- runs the exit listeners, which kill the child processes
	};
}

/** Reads from the mask of caught signals whether a process handles one; `proc_pid_status(5)`. */
function handlesSignal(pid: number, signal: number): boolean {
	try {
		const [, mask] = /^SigCgt:\s*(\w+)$/mu.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))!;
		return (BigInt(`0x${mask}`) / (2n ** BigInt(signal - 1))) % 2n === 1n;
	} catch {
		// The process has ended.
		return true;
	}
}

function readJson(line: string): Record<string, unknown> {
	try {
		return JSON.parse(line) as Record<string, unknown>;
	} catch {
		return {text: line};
	}
}
