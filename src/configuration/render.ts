/** Applies the parameters of client accounts to their templates. */
import {Result, fail, ok} from '../result';
import * as types from './types';

/** Why an account cannot be rendered. */
export type RenderError =
  | {readonly kind: 'unknown-template'; readonly template: string}
  | {
      readonly kind: 'parameter-out-of-bounds';
      readonly parameter: types.ParameterName;
      readonly value: number;
      readonly min: number;
      readonly max: number;
    };

/**
 * Parameters that the account doesn't set get the template's default. Fails
 * with `unknown-template` or `parameter-out-of-bounds`.
 */
export function renderAccount(
  account: types.Account,
  template: types.Template | undefined,
): Result<types.RenderedAccount, RenderError> {
  if (template === undefined) {
    return fail({kind: 'unknown-template', template: account.template});
  }
  const parameters = {} as Record<types.ParameterName, number>;
  for (const parameter of types.PARAMETER_NAMES) {
    const bounds = template.parameters[parameter];
    const value = account.parameters[parameter] ?? bounds.default;
    if (value < bounds.min || value > bounds.max) {
      const {min, max} = bounds;
      return fail({
        kind: 'parameter-out-of-bounds',
        parameter,
        value,
        min,
        max,
      });
    }
    parameters[parameter] = value;
  }
  return ok({
    id: account.id,
    template,
    keyDigests: account.keyDigests,
    parameters,
  });
}
