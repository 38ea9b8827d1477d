#ifndef EELGRASSPIN_RESULT_H_
#define EELGRASSPIN_RESULT_H_

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace eelgrasspin {

enum class ErrorCode {
  kInvalid,      ///< Invalid input; a retry with the same input fails again.
  kNotFound,     ///< The named object does not exist.
  kConflict,     ///< A concurrent write took precedence.
  kUnavailable,  ///< No answer; the operation may or may not have taken effect.
  kRefused,      ///< The operation has certainly not been performed.
};

struct Error {
  ErrorCode code = ErrorCode::kInvalid;
  std::string message;
};

/// A value or an error. Exceptions do not cross module boundaries.
template <class T>
using Result = std::variant<T, Error>;

template <class T>
bool ok(const Result<T>& result) {
  return std::holds_alternative<T>(result);
}

template <class T>
const T& value(const Result<T>& result) {
  return std::get<T>(result);
}

template <class T>
T& value(Result<T>& result) {
  return std::get<T>(result);
}

template <class T>
const Error& error(const Result<T>& result) {
  return std::get<Error>(result);
}

/// A problem found in an input, with its location.
struct Finding {
  std::string file;
  int line = 0;    ///< 1-based; 0 means the whole file.
  int column = 0;  ///< 1-based; 0 means the whole line.
  std::string message;
  std::string hint;  ///< What would be valid instead; may be empty.
};

/// "file:line:column: message (hint)".
std::string to_string(const Finding& finding);

/// A valid value, or all findings of its check.
template <class T>
using Checked = std::variant<T, std::vector<Finding>>;

/// Combines several lambdas into one visitor for std::visit.
template <class... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_RESULT_H_
