/** Prints one plain closing line with the counts of passed and failed tests. */
export default class ClosingLineReporter {
	onRunComplete(_contexts, results) {
		const failed = results.numFailedTests + results.numRuntimeErrorTestSuites;
		console.log(`${results.numPassedTests} passed, ${failed} failed`);
	}
}
