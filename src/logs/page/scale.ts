/** Linear and logarithmic scales for chart axes. */

/** An axis: maps a value to a position from 0 to 1, and lists the values of its ticks. */
export type Scale = {place: (value: number) => number; ticks: number[]};

/** Approximate maximum number of ticks on an axis. */
const maxTicks = 8;

/** Creates a linear scale from `min` to `max` with ticks at least `minStep` apart; use 1 for counts, which are whole numbers. */
export function createLinearScale(min: number, max: number, minStep = 0): Scale {
	const span = Math.max(max - min, Number.EPSILON);
	const step = Math.max(minStep, findStep(span / maxTicks));
	const ticks = [];
	for (let tick = Math.ceil(min / step) * step; tick <= max + (step / 1000); tick += step) {
		ticks.push(tick);
	}

	return {place: value => (value - min) / span, ticks};
}

/** Creates a logarithmic scale over whole powers of ten; values below its range map to 0. */
export function createLogScale(min: number, max: number): Scale {
	const [from, until] = [Math.floor(Math.log10(min)), Math.max(Math.ceil(Math.log10(max)), Math.floor(Math.log10(min)) + 1)];
	const ticks = Array.from({length: until - from + 1}, (_, index) => 10 ** (from + index));
	return {place: value => (Math.log10(Math.max(value, 10 ** from)) - from) / (until - from), ticks};
}

/** Rounds up to 1, 2 or 5 times a power of ten. */
export function findStep(min: number): number {
	const power = 10 ** Math.floor(Math.log10(min));
	return [1, 2, 5, 10].find(factor => factor * power >= min * 0.999)! * power;
}
