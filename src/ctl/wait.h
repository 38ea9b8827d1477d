#ifndef EELGRASSPIN_CTL_WAIT_H_
#define EELGRASSPIN_CTL_WAIT_H_

#include "ctl/client.h"
#include "eelgrasspin/command.h"

namespace eelgrasspin::ctl {

/// Polls until an accepted command is finished: a move done, a drained server
/// without slots, a closure sealed. Progress goes to the standard error.
/// Returns the exit status, kUnknownOutcome if `timeout` passes first.
int wait_until_finished(Client& client, const Command& command,
                        const CommandId& id, Duration timeout);

}  // namespace eelgrasspin::ctl

#endif  // EELGRASSPIN_CTL_WAIT_H_
