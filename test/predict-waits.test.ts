import {expect, test} from '@jest/globals';
import {WaitPredictor} from '../src/node/dispatch/index.js';

const short = 2000;
const long = 200_000;

/** Serves one request of a length per second for ten seconds, while another waits; returns the end time. */
function serve(predictor: WaitPredictor, promptTokens: number, tokens: number, from: number): number {
	for (let second = 0; second < 10; second++) {
		const start = from + (second * 1000);
		predictor.recordWaiting(promptTokens, start);
		predictor.recordWaiting(promptTokens, start);
		predictor.recordDone(promptTokens, tokens, start + 1000);
		predictor.recordDone(promptTokens, 0, start + 1000);
	}

	return from + 10_000;
}

test('no wait is predicted before a request of the length class has been served', () => {
	const predictor = new WaitPredictor();
	predictor.recordWaiting(long, 0);
	expect(predictor.predictWait(long, 500_000, 1000)).toBeUndefined();
});

test('the predicted wait is the tokens ahead divided by the service rate of the length class', () => {
	const predictor = new WaitPredictor();
	const now = serve(predictor, long, 200_000, 0);
	predictor.recordWaiting(long, now);
	expect(predictor.predictWait(long, 600_000, now)).toBe(3000);
});

test('service of short requests does not affect the prediction for long ones', () => {
	const predictor = new WaitPredictor();
	const now = serve(predictor, short, 2000, serve(predictor, long, 200_000, 0));
	predictor.recordWaiting(long, now);
	predictor.recordWaiting(short, now);
	expect(predictor.predictWait(long, 600_000, now)).toBe(3000);
	expect(predictor.predictWait(short, 6000, now)).toBe(3000);
});

test('time in which no request waits does not lower the service rate', () => {
	const predictor = new WaitPredictor();
	const now = serve(predictor, long, 200_000, 0) + 3_600_000;
	predictor.recordWaiting(long, now);
	expect(predictor.predictWait(long, 600_000, now)).toBe(3000);
});

test('the predicted wait grows while a length class with waiting requests is not served', () => {
	const predictor = new WaitPredictor();
	const now = serve(predictor, long, 200_000, 0);
	predictor.recordWaiting(long, now);
	expect(predictor.predictWait(long, 600_000, now + 10_000)).toBe(30_000);
});
