/** How figures lie on an axis. Pure. */

/** An axis: where a value lies from 0 to 1, and the values that are marked. */
export type Scale = {place: (value: number) => number; ticks: number[]};

/** Marks that an axis has at max, about. */
const maxTicks = 8;

/** An even axis from `min` to `max`, with marks at min `minStep` apart: 1 for counts, which have nothing between. */
export function createLinearScale(min: number, max: number, minStep = 0): Scale {
	const span = Math.max(max - min, Number.EPSILON);
	const step = Math.max(minStep, findStep(span / maxTicks));
	const ticks = [];
	for (let tick = Math.ceil(min / step) * step; tick <= max + (step / 1000); tick += step) {
		ticks.push(tick);
	}

	return {place: value => (value - min) / span, ticks};
}

/** An axis on which each factor of ten is as long; values below `min` lie at its beginning. */
export function createLogScale(min: number, max: number): Scale {
	const [from, until] = [Math.floor(Math.log10(min)), Math.max(Math.ceil(Math.log10(max)), Math.floor(Math.log10(min)) + 1)];
	const ticks = Array.from({length: until - from + 1}, (_, index) => 10 ** (from + index));
	return {place: value => (Math.log10(Math.max(value, 10 ** from)) - from) / (until - from), ticks};
}

/** The next larger of 1, 2 and 5 times a power of ten. */
export function findStep(min: number): number {
	const power = 10 ** Math.floor(Math.log10(min));
	return [1, 2, 5, 10].find(factor => factor * power >= min * 0.999)! * power;
}
