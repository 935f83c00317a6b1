const config = {
	testEnvironment: 'node',
	testMatch: ['<rootDir>/test/**/*.test.ts'],
	extensionsToTreatAsEsm: ['.ts'],
	moduleNameMapper: {[String.raw`^(\.{1,2}/.*)\.js$`]: '$1'},
	transform: {
		[String.raw`^.+\.ts$`]: ['@swc/jest', {
			jsc: {
				target: 'es2022',
				parser: {syntax: 'typescript', decorators: true},
				transform: {legacyDecorator: true},
			},
			module: {type: 'es6'},
		}],
	},
	reporters: ['default', '<rootDir>/scripts/closing-line-reporter.js'],
};

export default config;
