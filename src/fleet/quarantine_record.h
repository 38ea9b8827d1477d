#ifndef EELGRASSPIN_FLEET_QUARANTINE_RECORD_H_
#define EELGRASSPIN_FLEET_QUARANTINE_RECORD_H_

#include "fleet/state.h"

/// The store's record of the requests in quarantine, for daemons that start. A
/// daemon that notices a crash adds its strikes; the others rely on heartbeats.
namespace eelgrasspin::fleet {

/// Reads the record if it may lack a strike that this daemon noticed.
void tick_quarantine_record(State& state, TimePoint now, Effects& effects);
/// Adopts the strikes of the record, and writes those that it lacks if this
/// daemon has asked for it.
void on_quarantine_record(State& state, const QuarantineRecordRead& read,
                          TimePoint now, Effects& effects);
void on_quarantine_record_written(State& state,
                                  const QuarantineRecordWritten& written,
                                  TimePoint now, Effects& effects);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_QUARANTINE_RECORD_H_
