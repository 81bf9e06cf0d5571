/** Measurements of one role at one size; the names include the unit. */
export type Figures = Readonly<Record<string, number>>;
