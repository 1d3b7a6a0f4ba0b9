import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/node_modules/**", "dist/**", "target/**"] },
    {
        files: ["**/*.ts"],
        extends: [tseslint.configs.recommended],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "no-console": "error",
            "prefer-const": "error",
            "max-lines": ["error", 400],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "function", format: ["camelCase"] },
            ],
        },
    },
    {
        // node:test returns promises that its runner awaits.
        files: ["**/test/**/*.ts"],
        rules: { "@typescript-eslint/no-floating-promises": "off" },
    },
);
