#ifndef EELGRASSPIN_CONFIG_DECLARATIONS_FIELDS_H_
#define EELGRASSPIN_CONFIG_DECLARATIONS_FIELDS_H_

#include "config/values.h"
#include "eelgrasspin/declarations.h"

/// Reads the values of each kind of section of the declarations.
namespace eelgrasspin::config {

/// The supported schema version; declarations with another one are rejected.
inline constexpr std::uint32_t kSchemaVersion = 1;

const Choices<IsolationPolicy>& isolation_choices();
const Choices<StoreDownPolicy>& store_down_choices();
const Choices<ExecutionClass>& execution_class_choices();

/// The word of `constant` in `choices`; empty if it has none.
template <class E>
std::string word_of(const Choices<E>& choices, E constant) {
  for (const auto& [word, candidate] : choices) {
    if (candidate == constant) return word;
  }
  return {};
}

void read_deployment(ValueReader& reader, Declarations& out);
void read_region(ValueReader& reader);
void read_zone(ValueReader& reader, ZoneDeclaration& out);
void read_service(ValueReader& reader, ServiceDeclaration& out);
void read_operation(ValueReader& reader, Operation& out);
void read_server(ValueReader& reader, ServerDeclaration& out);

}  // namespace eelgrasspin::config

#endif  // EELGRASSPIN_CONFIG_DECLARATIONS_FIELDS_H_
