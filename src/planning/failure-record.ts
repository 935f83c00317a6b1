/**
 * Failed answers of one backend server, judged against those of the other servers of its service. Pure.
 *
 * Load patterns: a server that fails at once is idle and looks least loaded, so that it gets every first try; and on many services up to 14 in
 * 100 answers fail on every server alike, which tells nothing about any of them.
 *
 * Times are monotonic milliseconds.
 */

/** Numbers of answers and of failed ones among them; fractional, since old ones count less. */
export type AnswerCounts = {answers: number; failures: number};

/** Time in which the weight of an answer halves, in milliseconds. */
const halfLife = 30_000;

/** Maximum number of answers that count: a server that has answered well for long is noticed after some seven failures. */
const maxAnswers = 30;

/** Weight of the assumption that a server without answers fails no more than others, in answers. */
const priorAnswers = 2;

/** Assumed answers and failures of the other servers: without any, 2 in 100 are expected to fail. */
const otherPrior: AnswerCounts = {answers: 10, failures: 0.2};

/** A server is avoided when its failure share exceeds that of the others by this much, and by this many standard deviations: three failures of three answers, or 12 of 30 beside 14 in 100. */
const minExcess = 0.2;
const minDeviations = 2.8;

/** Excess that is disregarded: the rest of a failure that has decayed for minutes. */
const negligibleExcess = 0.02;

/** Time until an avoided server is tried with one request, in milliseconds; doubled after each failed trial up to the maximum. */
const initialTrialDelay = 3000;
const maxTrialDelay = 40_000;

/**
 * Trials end by a sequential test of the rate of the others against a rate that is higher by `trialExcess`: the sum of the logarithms of the likelihood
 * ratio ends the avoidance at `-goodEvidence`, which takes five good answers, and extends it at `badEvidence`, which takes one failure, or two
 * beside 14 in 100. When five good answers in a row were asked for, healthy servers beside 14 in 100 failed most trials.
 */
const trialExcess = 0.35;
const goodEvidence = 2;
const badEvidence = 1.5;

/** Bounds of the failure rate of the others in trials. */
const minTrialRate = 0.02;
const maxTrialRate = 0.6;

/** Counts the answers of one server and decides whether it is avoided for failures. */
export class FailureRecord {
	#counts: AnswerCounts = {answers: 0, failures: 0};
	#countedAt = 0;
	#excess = 0;
	#others: AnswerCounts = {answers: 0, failures: 0};
	#isAvoided = false;
	#trialAt = 0;
	#trialDelay = 0;
	#passedTrials = 0;
	#trialEvidence = 0;
	#lastAvoidedAt = -Infinity;
	#lastFailureAt = -Infinity;

	/** Whether it is avoided: only single trials go there. */
	get isAvoided(): boolean {
		return this.#isAvoided;
	}

	/**
	 * Whether a server that gets less work because of its failures is to be tried with one more request beside `taskCount` others. Each good
	 * answer of an avoided one permits one more.
	 *
	 * A failed trial of a request that may run only once is lost to its caller, so such requests are used only when no other came for long.
	 */
	isTrialDue(taskCount: number, now: number, canRepeat: boolean): boolean {
		if (this.#isAvoided) {
			return taskCount <= this.#passedTrials && now >= this.#trialAt + (canRepeat ? 0 : this.#trialDelay);
		}

		// While the service has little work, one failure keeps a server without requests that could show its recovery.
		const delay = initialTrialDelay * (canRepeat ? 1 : 2);
		return taskCount === 0 && now >= this.#lastFailureAt + delay && this.#excess > 0;
	}

	/** Whether it is avoided, or has as high a share of failures among few answers. */
	get isDisfavoured(): boolean {
		return this.#isAvoided || this.#excess >= minExcess;
	}

	/** Share of failures above that of the other servers, less one standard deviation, as of the last comparison or answer; 0 when it fails no more than they do. */
	get excess(): number {
		return this.#excess;
	}

	/** Compares this server with the counts of the others. */
	compare(others: AnswerCounts, now: number): void {
		this.#others = others;
		this.#excess = this.#computeExcess(now);
	}

	/** Answers and failures that count at this time. */
	readCounts(now: number): AnswerCounts {
		const weight = 0.5 ** (Math.max(0, now - this.#countedAt) / halfLife);
		return {answers: this.#counts.answers * weight, failures: this.#counts.failures * weight};
	}

	/** Records a good answer. */
	recordSuccess(now: number): void {
		this.#count(0, now);
		if (!this.#isAvoided) {
			return;
		}

		this.#passedTrials++;
		this.#trialEvidence += this.#computeEvidence(false);
		if (this.#trialEvidence <= -goodEvidence) {
			this.#isAvoided = false;
			this.#lastAvoidedAt = now;
			this.#counts = {answers: 0, failures: 0};
			this.#excess = 0;
		}
	}

	/** Records a failed answer. */
	recordFailure(now: number): void {
		const isTrial = this.#isAvoided && now >= this.#trialAt;
		this.#count(1, now);
		this.#lastFailureAt = now;
		this.#passedTrials = 0;
		this.#trialEvidence += isTrial ? this.#computeEvidence(true) : 0;
		const hasFailedTrial = isTrial && this.#trialEvidence >= badEvidence;
		if (hasFailedTrial || (!this.#isAvoided && this.#isOutlier(now))) {
			this.#startAvoidance(hasFailedTrial || now - this.#lastAvoidedAt < halfLife, now);
		}
	}

	/** Takes back a failed answer: other servers fail the same request. */
	withdrawFailure(now: number): void {
		const {answers, failures} = this.readCounts(now);
		this.#counts = {answers: Math.max(0, answers - 1), failures: Math.max(0, failures - 1)};
		this.#countedAt = now;
		this.#excess = this.#computeExcess(now);
		this.#isAvoided &&= this.#trialDelay > initialTrialDelay || this.#isOutlier(now);
	}

	get #otherRate(): number {
		return (this.#others.failures + otherPrior.failures) / (this.#others.answers + otherPrior.answers);
	}

	#startAvoidance(isRepeated: boolean, now: number): void {
		this.#isAvoided = true;
		this.#trialEvidence = 0;
		this.#trialDelay = isRepeated ? Math.min(maxTrialDelay, this.#trialDelay * 2) : initialTrialDelay;
		this.#trialAt = now + this.#trialDelay;
	}

	#count(failures: number, now: number): void {
		const counts = this.readCounts(now);
		const weight = Math.min(1, (maxAnswers - 1) / counts.answers);
		this.#counts = {answers: (counts.answers * weight) + 1, failures: (counts.failures * weight) + failures};
		this.#countedAt = now;
		this.#excess = this.#computeExcess(now);
	}

	/** Logarithm of how much more likely an answer is at a failure rate above that of the others. */
	#computeEvidence(isFailure: boolean): number {
		const rate = Math.min(maxTrialRate, Math.max(minTrialRate, this.#otherRate));
		return isFailure ? Math.log((rate + trialExcess) / rate) : Math.log((1 - rate - trialExcess) / (1 - rate));
	}

	#computeExcess(now: number): number {
		if (this.#counts.failures === 0) {
			return 0;
		}

		const {answers, failures} = this.readCounts(now);
		const {expected, variance} = this.#predict(answers);
		const excess = (failures - expected - Math.sqrt(variance)) / (answers + priorAnswers);
		return excess < negligibleExcess ? 0 : excess;
	}

	#isOutlier(now: number): boolean {
		const {answers, failures} = this.readCounts(now);
		const {expected, variance} = this.#predict(answers);
		const excess = failures - expected;
		return excess >= minExcess * (answers + priorAnswers) && excess >= minDeviations * Math.sqrt(variance + 1);
	}

	/** Failures expected among a number of answers at the rate of the others, and their variance, which includes that of the estimated rate. */
	#predict(answers: number): {expected: number; variance: number} {
		const others = this.#others.answers + otherPrior.answers;
		const rate = this.#otherRate;
		return {expected: answers * rate, variance: answers * rate * (1 - rate) * (1 + (answers / others))};
	}
}
