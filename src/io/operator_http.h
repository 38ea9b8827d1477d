#ifndef EELGRASSPIN_IO_OPERATOR_HTTP_H_
#define EELGRASSPIN_IO_OPERATOR_HTTP_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "eelgrasspin/command.h"
#include "eelgrasspin/declarations.h"
#include "eelgrasspin/ids.h"
#include "io/http_server.h"

namespace eelgrasspin::io {

/// Declarations as they are in force; `version` 0 if there are none.
struct DeclarationsText {
  Version version;
  std::string text;
};

struct OperatorCommand {
  OperatorName operator_name;
  CommandId id;
  std::string text;
  Command command;
  Version base;
};

struct OperatorDeclarations {
  OperatorName operator_name;
  Declarations declarations;
  Version base;
};

/// Port for operators, health and metrics.
class OperatorPort {
 public:
  struct Handlers {
    std::function<void(OperatorCallId, OperatorCommand)> on_command;
    std::function<void(OperatorCallId, OperatorDeclarations)> on_declarations;
    std::function<DeclarationsText()> declarations;
    std::function<std::string()> metrics;
    std::function<bool()> healthy;
  };

  /// `run_name` makes generated command ids differ between daemons and runs.
  OperatorPort(boost::asio::io_context& io,
               std::map<OperatorName, std::string> tokens, std::string run_name,
               Handlers handlers);

  HttpServer& server() { return server_; }
  void reply(OperatorCallId call, const CommandAnswer& answer);

 private:
  void handle(const std::shared_ptr<HttpExchange>& exchange);
  void handle_command(const std::shared_ptr<HttpExchange>& exchange,
                      const OperatorName& name);
  void handle_declarations(const std::shared_ptr<HttpExchange>& exchange,
                           const OperatorName& name);
  OperatorCallId hold(const std::shared_ptr<HttpExchange>& exchange);

  std::map<OperatorName, std::string> tokens_;
  std::string run_name_;
  Handlers handlers_;
  std::map<OperatorCallId, std::shared_ptr<HttpExchange>> calls_;
  std::uint64_t next_call_ = 1;
  HttpServer server_;
};

/// The operator whose token is in the Authorization field; compares every token
/// in constant time.
std::optional<OperatorName> authenticate(
    const HeaderFields& headers,
    const std::map<OperatorName, std::string>& tokens);

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_OPERATOR_HTTP_H_
