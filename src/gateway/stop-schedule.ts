/** The times of a planned stop. */

/** Share of the grace period after which calls in progress are cut off. */
const cutOffShare = 0.9;

/** Maximum share of the grace period for which new calls are accepted: the rest is needed for their answers. */
const acceptShare = 0.375;

/** Share of the grace period by which acceptance ends earlier, since the signal may be noticed late. */
const acceptMarginShare = 0.0625;

/** Share of the grace period after which no answer is awaited any more: the rest is needed for the end of the process. */
const answerShare = 0.975;

/** Times by the monotonic clock in milliseconds. All count from the signal, as the platform's SIGKILL does, not from when it was noticed. */
export class StopSchedule {
	readonly acceptUntil: number;
	readonly cutOffAt: number;
	readonly answerUntil: number;

	/** `grace` is the grace period and `addressLifetime` the time until the last address answer expires, in milliseconds. */
	constructor(readonly signalledAt: number, grace: number, addressLifetime: number) {
		this.acceptUntil = signalledAt + Math.min(addressLifetime, grace * (acceptShare - acceptMarginShare));
		this.cutOffAt = signalledAt + (grace * cutOffShare);
		this.answerUntil = signalledAt + (grace * answerShare);
	}
}
