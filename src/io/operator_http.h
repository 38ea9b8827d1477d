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

/// The declarations in force; `version` is 0 if there are none.
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

/// HTTP port for operators, the health check and metrics.
class OperatorPort {
 public:
  struct Handlers {
    std::function<void(OperatorCallId, OperatorCommand)> on_command;
    std::function<void(OperatorCallId, OperatorDeclarations)> on_declarations;
    std::function<DeclarationsText()> declarations;
    std::function<std::string()> metrics;
    std::function<bool()> healthy;
  };

  /// `id_prefix` starts every generated command id. It must differ between
  /// daemons and between incarnations of one daemon.
  OperatorPort(boost::asio::io_context& io,
               std::map<OperatorName, std::string> tokens,
               std::string id_prefix, Handlers handlers);

  HttpServer& server() { return server_; }
  void reply(OperatorCallId call, const CommandAnswer& answer);

 private:
  void handle(const std::shared_ptr<HttpExchange>& exchange);
  void handle_command(const std::shared_ptr<HttpExchange>& exchange,
                      const OperatorName& name);
  void handle_declarations(const std::shared_ptr<HttpExchange>& exchange,
                           const OperatorName& name);
  OperatorCallId register_call(const std::shared_ptr<HttpExchange>& exchange);

  std::map<OperatorName, std::string> tokens_;
  std::string id_prefix_;
  Handlers handlers_;
  std::map<OperatorCallId, std::shared_ptr<HttpExchange>> calls_;
  std::uint64_t next_call_ = 1;
  HttpServer server_;
};

/// The operator whose token is in the Authorization field. Compares with every
/// token in constant time.
std::optional<OperatorName> authenticate(
    const HeaderFields& headers,
    const std::map<OperatorName, std::string>& tokens);

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_OPERATOR_HTTP_H_
