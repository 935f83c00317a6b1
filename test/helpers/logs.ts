/** Captures log lines for assertions. */
import {Writable} from 'node:stream';

/** A stream that keeps all written log lines. */
export class LogCapture extends Writable {
	text = '';

	override _write(chunk: unknown, _encoding: string, done: () => void): void {
		this.text += String(chunk);
		done();
	}

	/** Lists the lines of one event, in order. */
	listEvents(event: string): Array<Record<string, unknown>> {
		return this.text.split('\n').filter(line => line !== '').map(line => JSON.parse(line) as Record<string, unknown>).filter(line => line.event === event);
	}
}
