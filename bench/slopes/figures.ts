/** Figures of one role at one size, by name with its unit. */
export type Figures = Readonly<Record<string, number>>;
