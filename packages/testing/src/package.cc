// The package's first source file comes with its first part.
