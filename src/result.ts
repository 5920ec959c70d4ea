/** The outcome of an operation that can fail in a way its caller handles. */

/** Either a value, or an error that is a member of a tagged union. */
export type Result<T, E> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly error: E};

/** Wraps a value. */
export function ok<T>(value: T): {ok: true; value: T} {
  return {ok: true, value};
}

/** Wraps an error. */
export function fail<E>(error: E): {ok: false; error: E} {
  return {ok: false, error};
}

/** Marks a switch over a tagged union as exhaustive. */
export function unreachable(value: never): never {
  throw new TypeError(`unhandled case ${JSON.stringify(value)}`);
}
