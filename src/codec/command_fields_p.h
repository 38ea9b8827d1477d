#ifndef EELGRASSPIN_CODEC_COMMAND_FIELDS_P_H_
#define EELGRASSPIN_CODEC_COMMAND_FIELDS_P_H_

#include "codec/json_p.h"
#include "eelgrasspin/command.h"

/// Private to src/codec: fields of commands and their answers.
namespace eelgrasspin::codec {

template <>
struct LastEnumerator<Subject> {
  static constexpr auto kValue = Subject::kStore;
};
template <>
struct LastEnumerator<Comparison> {
  static constexpr auto kValue = Comparison::kGreaterOrEqual;
};
template <>
struct LastEnumerator<ErrorCode> {
  static constexpr auto kValue = ErrorCode::kRefused;
};

template <>
struct TypeName<ShowCommand> {
  static constexpr std::string_view kValue = "show";
};
template <>
struct TypeName<OwnerCommand> {
  static constexpr std::string_view kValue = "owner";
};
template <>
struct TypeName<MoveCommand> {
  static constexpr std::string_view kValue = "move";
};
template <>
struct TypeName<DrainCommand> {
  static constexpr std::string_view kValue = "drain";
};
template <>
struct TypeName<UndrainCommand> {
  static constexpr std::string_view kValue = "undrain";
};
template <>
struct TypeName<CloseCommand> {
  static constexpr std::string_view kValue = "close";
};
template <>
struct TypeName<CancelClosureCommand> {
  static constexpr std::string_view kValue = "cancel_closure";
};
template <>
struct TypeName<ShowClosureCommand> {
  static constexpr std::string_view kValue = "show_closure";
};
template <>
struct TypeName<ReportCommand> {
  static constexpr std::string_view kValue = "report";
};
template <>
struct TypeName<StopDaemonCommand> {
  static constexpr std::string_view kValue = "stop_daemon";
};
template <>
struct TypeName<FenceCommand> {
  static constexpr std::string_view kValue = "fence";
};
template <>
struct TypeName<ReleaseCommand> {
  static constexpr std::string_view kValue = "release";
};

template <class A>
void fields(A& a, ConstIfWriting<A, Condition>& v) {
  a("column", v.column);
  a("comparison", v.comparison);
  a("value", v.value);
}

template <class A>
void fields(A& a, ConstIfWriting<A, ShowCommand>& v) {
  a("subject", v.subject);
  a("conditions", v.conditions);
  a("since", v.since);
  a("limit", v.limit);
}

template <class A>
void fields(A& a, ConstIfWriting<A, OwnerCommand>& v) {
  a("service", v.service);
  a("key", v.key);
}

template <class A>
void fields(A& a, ConstIfWriting<A, MoveCommand>& v) {
  a("service", v.service);
  a("slot", v.slot);
  a("key", v.key);
  a("server", v.server);
  a("zone", v.zone);
}

template <class A>
void fields(A& a, ConstIfWriting<A, DrainCommand>& v) {
  a("server", v.server);
  a("within", v.within);
}

template <class A>
void fields(A& a, ConstIfWriting<A, UndrainCommand>& v) {
  a("server", v.server);
}

template <class A>
void fields(A& a, ConstIfWriting<A, CloseCommand>& v) {
  a("service", v.service);
  a("deadline", v.deadline);
  a("reason", v.reason);
}

template <class A>
void fields(A& a, ConstIfWriting<A, CancelClosureCommand>& v) {
  a("service", v.service);
}

template <class A>
void fields(A& a, ConstIfWriting<A, ShowClosureCommand>& v) {
  a("service", v.service);
}

template <class A>
void fields(A& a, ConstIfWriting<A, ReportCommand>& v) {
  a("service", v.service);
}

template <class A>
void fields(A& a, ConstIfWriting<A, StopDaemonCommand>& v) {
  a("daemon", v.daemon);
}

template <class A>
void fields(A& a, ConstIfWriting<A, FenceCommand>& v) {
  a("zone", v.zone);
  a("daemon", v.daemon);
}

template <class A>
void fields(A& a, ConstIfWriting<A, ReleaseCommand>& v) {
  a("fingerprint", v.fingerprint);
}

template <class A>
void fields(A& a, ConstIfWriting<A, Error>& v) {
  a("code", v.code);
  a("message", v.message);
}

template <class A>
void fields(A& a, ConstIfWriting<A, Table>& v) {
  a("columns", v.columns);
  a("rows", v.rows);
}

template <class A>
void fields(A& a, ConstIfWriting<A, Section>& v) {
  a("title", v.title);
  a("table", v.table);
}

template <class A>
void fields(A& a, ConstIfWriting<A, CommandAnswer>& v) {
  a("error", v.error);
  a("message", v.message);
  a("command", v.command);
  a("version", v.version);
  a("sections", v.sections);
}

}  // namespace eelgrasspin::codec

#endif  // EELGRASSPIN_CODEC_COMMAND_FIELDS_P_H_
