#ifndef EELGRASSPIN_CONFIG_DECLARATIONS_FIELDS_H_
#define EELGRASSPIN_CONFIG_DECLARATIONS_FIELDS_H_

#include "config/values.h"
#include "eelgrasspin/declarations.h"

/// The values of each kind of section of the declarations.
namespace eelgrasspin::config {

/// Declarations of this schema are read; newer ones are refused.
inline constexpr std::uint32_t kSchema = 1;

const Choices<IsolationPolicy>& isolation_choices();
const Choices<StoreDownPolicy>& store_down_choices();
const Choices<ExecutionClass>& execution_class_choices();

template <class E>
std::string word_of(const Choices<E>& choices, E constant) {
  for (const auto& [word, candidate] : choices) {
    if (candidate == constant) return word;
  }
  return {};
}

void read_deployment(Values& values, Declarations& out);
void read_region(Values& values);
void read_zone(Values& values, ZoneDeclaration& out);
void read_service(Values& values, ServiceDeclaration& out);
void read_operation(Values& values, Operation& out);
void read_server(Values& values, ServerDeclaration& out);

}  // namespace eelgrasspin::config

#endif  // EELGRASSPIN_CONFIG_DECLARATIONS_FIELDS_H_
