/* XO's rules, with the exceptions that docs/STYLE.md gives reasons for. */
const namingConvention = [
	'error',
	{
		selector: ['variable', 'function', 'classProperty', 'parameterProperty', 'classMethod', 'accessor', 'parameter'],
		format: ['strictCamelCase'],
		leadingUnderscore: 'allow',
		filter: {regex: '[- ]', match: false},
	},
	{selector: 'typeLike', format: ['StrictPascalCase']},
	{selector: ['objectLiteralProperty', 'typeProperty'], format: null},
];

export default [
	{ignores: ['dist/**']},
	{
		rules: {
			'no-await-in-loop': 'off',
			'new-cap': ['error', {newIsCap: true, capIsNew: false}],
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			'@typescript-eslint/naming-convention': namingConvention,
		},
	},
];
