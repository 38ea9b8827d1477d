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

/// Why a call has no usable answer, and the exit status for it.
struct Failure {
  ExitCode code = kUnreachable;
  std::string message;
};

using Answer = std::variant<CommandAnswer, Failure>;

/// The declarations in force; version 0 if there are none yet.
struct CurrentDeclarations {
  Version version;
  std::string text;
};

/// HTTP client of the daemons' operators port. A call without an answer is
/// repeated at the next daemon; a command carries an id, so that a repeated one
/// is carried out only once. Not thread safe.
class Client {
 public:
  explicit Client(const Options& options);

  /// A new command id; every attempt at one command carries the same id.
  CommandId new_command_id();
  Answer send_command(const std::string& text, const CommandId& id,
                      bool is_query);
  std::variant<CurrentDeclarations, Failure> fetch_declarations();
  /// Replaces the declarations if their version is still `base_version`. `file`
  /// is the file name in findings.
  Answer apply(const std::string& text, const std::string& file,
               Version base_version);

 private:
  /// Calls the daemons in turn until one answers. A call that `changes_state`
  /// fails with kUnknownOutcome if any attempt may have been sent.
  std::variant<io::HttpResponse, Failure> call(io::HttpRequest request,
                                               bool changes_state);
  Answer decode_response(
      const std::variant<io::HttpResponse, Failure>& result) const;

  std::vector<Endpoint> daemons_;
  std::string token_;
  OperatorName operator_name_;
  std::uint64_t run_id_ = 0;
  std::uint64_t command_count_ = 0;
};

/// Exit status for an answer of a daemon.
ExitCode exit_code_for(const CommandAnswer& answer, bool is_query);

}  // namespace eelgrasspin::ctl

#endif  // EELGRASSPIN_CTL_CLIENT_H_
