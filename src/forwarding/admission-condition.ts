/**
 * Decides for which services requests are queued by rank and refused by
 * prediction, and capacity is shared among entries.
 */
import type {AdmissionSettings} from '../roles/site-settings';
import type {CurrentConfiguration} from '../routes/current';

export interface ConditionContext {
  readonly cfg: {readonly admission: Pick<AdmissionSettings, 'isEnabled'>};
  readonly configuration: CurrentConfiguration;
}

/**
 * True if routes of the service have objectives, and either the settings enable
 * admission or those routes have different priorities. Otherwise the order of
 * requests would gain little for the processor time that it takes.
 */
export function hasAdmission(
  service: string,
  {cfg, configuration}: ConditionContext,
): boolean {
  const {table} = configuration;
  return (
    table !== undefined &&
    table.hasObjective(service) &&
    (cfg.admission.isEnabled || table.objectivesDifferInPriority(service))
  );
}
