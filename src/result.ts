/** Results of operations whose errors the caller must handle. */

/** Either a value, or an error, usually one of a tagged union. */
export type Result<T, E> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly error: E};

export function ok<T>(value: T): {ok: true; value: T} {
  return {ok: true, value};
}

export function fail<E>(error: E): {ok: false; error: E} {
  return {ok: false, error};
}

/** Makes the compiler check that a switch is exhaustive; throws a TypeError. */
export function unreachable(value: never): never {
  throw new TypeError(`unhandled case ${JSON.stringify(value)}`);
}
