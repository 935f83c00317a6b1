/** How figures lie on an axis. Pure. */

/** An axis: where a value lies from 0 to 1, and the values that are marked. */
export type Scale = {place: (value: number) => number; ticks: number[]};

/** Marks that an axis has at most, about. */
const mostTicks = 8;

/** An even axis from `least` to `most`, with marks at least `leastStep` apart: 1 for counts, which have nothing between. */
export function divideEvenly(least: number, most: number, leastStep = 0): Scale {
	const span = Math.max(most - least, Number.EPSILON);
	const step = Math.max(leastStep, findStep(span / mostTicks));
	const ticks = [];
	for (let tick = Math.ceil(least / step) * step; tick <= most + (step / 1000); tick += step) {
		ticks.push(tick);
	}

	return {place: value => (value - least) / span, ticks};
}

/** An axis on which each factor of ten is as long; values below `least` lie at its beginning. */
export function divideByTens(least: number, most: number): Scale {
	const [from, until] = [Math.floor(Math.log10(least)), Math.max(Math.ceil(Math.log10(most)), Math.floor(Math.log10(least)) + 1)];
	const ticks = Array.from({length: until - from + 1}, (_, index) => 10 ** (from + index));
	return {place: value => (Math.log10(Math.max(value, 10 ** from)) - from) / (until - from), ticks};
}

/** The next larger of 1, 2 and 5 times a power of ten. */
export function findStep(least: number): number {
	const power = 10 ** Math.floor(Math.log10(least));
	return [1, 2, 5, 10].find(factor => factor * power >= least * 0.999)! * power;
}
