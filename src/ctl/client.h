#ifndef EELGRASSPIN_CTL_CLIENT_H_
#define EELGRASSPIN_CTL_CLIENT_H_

#include <string>
#include <variant>
#include <vector>

#include "ctl/exit_codes.h"
#include "ctl/options.h"
#include "eelgrasspin/command.h"
#include "eelgrasspin/ids.h"
#include "io/http_types.h"

namespace eelgrasspin::ctl {

/// Why there is no answer, with the exit status that follows from it.
struct Failure {
  ExitCode code = kUnreachable;
  std::string message;
};

using Answer = std::variant<CommandAnswer, Failure>;

/// The declarations in force; version 0 if there are none.
struct InForce {
  Version version;
  std::string text;
};

/// Operators' HTTP of the daemons. A call that got no answer is made again, at
/// the next daemon; orders carry an id under which they run once.
class Client {
 public:
  explicit Client(const Options& options);

  /// A new id, the same for every attempt at one order.
  CommandId new_command_id();
  Answer command(const std::string& text, const CommandId& id, bool is_query);
  std::variant<InForce, Failure> declarations();
  Answer apply(const std::string& text, const std::string& file, Version base);

 private:
  /// Calls the daemons in turn until one answers.
  std::variant<io::HttpResponse, Failure> call(io::HttpRequest request,
                                               bool changes);
  Answer take_answer(const std::variant<io::HttpResponse, Failure>& got) const;

  std::vector<Endpoint> daemons_;
  std::string token_;
  OperatorName operator_;
  std::uint64_t run_ = 0;
  std::uint64_t commands_ = 0;
};

/// Exit status for an answer of the daemon.
ExitCode exit_code_of(const CommandAnswer& answer, bool is_query);

}  // namespace eelgrasspin::ctl

#endif  // EELGRASSPIN_CTL_CLIENT_H_
