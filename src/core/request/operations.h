#ifndef EELGRASSPIN_CORE_REQUEST_OPERATIONS_H_
#define EELGRASSPIN_CORE_REQUEST_OPERATIONS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrasspin/declarations.h"

namespace eelgrasspin::core::request {

/// A declared operation with its path pattern split into segments.
struct OperationPattern {
  std::string name;
  std::string method;
  ExecutionClass execution_class = ExecutionClass::kAtMostOnce;
  std::vector<std::string> segments;
};

struct MatchedOperation {
  const OperationPattern* operation = nullptr;
  Key key;  ///< Percent-decoded, so that every encoding has the same owner.
};

OperationPattern compile_operation(const Operation& operation);

/// The first operation whose method and path pattern match; the query is
/// ignored. Empty if none matches or the key is malformed.
std::optional<MatchedOperation> match_operation(
    const std::vector<OperationPattern>& operations, std::string_view method,
    std::string_view path);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_OPERATIONS_H_
