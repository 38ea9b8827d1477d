#include "core/operator/fan_out.h"

#include <utility>
#include <variant>

#include "core/operator/queries.h"
#include "core/state.h"

namespace eelgrasspin::core::operators {
namespace {

std::map<DaemonName, Endpoint> other_daemons(const core::State& state) {
  std::map<DaemonName, Endpoint> others;
  for_each_prefixed(
      state.cache, StoreKey("live/zone/"), [&](const StoreEntry& entry) {
        const auto* zone_roster = std::get_if<ZoneRoster>(&entry.record);
        if (zone_roster == nullptr) return;
        for (const RosterMember& member : zone_roster->members) {
          if (member.daemon != state.self.name)
            others[member.daemon] = member.address;
        }
      });
  return others;
}

void send(core::State& state, const Endpoint& to, PeerMessage message,
          Effects& effects) {
  ++state.counters[Counter::kPeerMessagesSent];
  effects.push_back(SendPeer{to, std::move(message)});
}

void answer_call(core::State& state, const CommandCall& call, Now now,
                 Effects& effects) {
  CommandCallAnswer answer{.call = call.call, .from = state.self.name};
  if (const auto* show = std::get_if<ShowCommand>(&call.command)) {
    answer.answer.sections.push_back({"", table_of(state, show->subject, now)});
  } else {
    answer.answer.error =
        Error{ErrorCode::kInvalid, "only show commands are passed on"};
  }
  send(state, call.address, std::move(answer), effects);
}

void merge(FanOut& fan_out, const CommandCallAnswer& part) {
  if (fan_out.unanswered.erase(part.from) == 0 || part.answer.sections.empty())
    return;
  auto& rows = fan_out.answer.sections.front().table.rows;
  const auto& more = part.answer.sections.front().table.rows;
  rows.insert(rows.end(), more.begin(), more.end());
}

void finish(FanOut& fan_out, Now now, Effects& effects) {
  const auto& show = std::get<ShowCommand>(fan_out.command);
  CommandAnswer answer =
      finish_show(show, std::move(fan_out.answer.sections.front().table), now);
  for (const DaemonName& missing : fan_out.unanswered) {
    answer.message +=
        (answer.message.empty() ? "not heard: " : " ") + missing.str();
  }
  effects.push_back(ReplyOperator{fan_out.call, std::move(answer)});
}

}  // namespace

void start_fan_out(core::State& state, const CommandReceived& received,
                   const ShowCommand& show, Now now, Effects& effects) {
  std::uint64_t number = state.operators.next_fan_out++;
  FanOut& fan_out = state.operators.fan_outs[number];
  fan_out.call = received.call;
  fan_out.command = received.command;
  fan_out.deadline = now.mono + config::kFanOutTimeout;
  fan_out.answer.sections.push_back({"", table_of(state, show.subject, now)});
  for (const auto& [daemon, address] : other_daemons(state)) {
    fan_out.unanswered.insert(daemon);
    send(state, address,
         CommandCall{.call = number,
                     .from = state.self.name,
                     .address = state.self.address,
                     .ordered_by = received.operator_name,
                     .id = received.id,
                     .text = received.text,
                     .command = received.command},
         effects);
  }
}

void step_fan_outs(core::State& state, const Event& event, Now now,
                   Effects& effects) {
  if (const auto* received = std::get_if<PeerReceived>(&event)) {
    if (const auto* call = std::get_if<CommandCall>(&received->message))
      answer_call(state, *call, now, effects);
    if (const auto* part = std::get_if<CommandCallAnswer>(&received->message)) {
      auto it = state.operators.fan_outs.find(part->call);
      if (it != state.operators.fan_outs.end()) merge(it->second, *part);
    }
  }
  auto& fan_outs = state.operators.fan_outs;
  for (auto it = fan_outs.begin(); it != fan_outs.end();) {
    FanOut& fan_out = it->second;
    if (!fan_out.unanswered.empty() && now.mono < fan_out.deadline) {
      ++it;
      continue;
    }
    finish(fan_out, now, effects);
    it = fan_outs.erase(it);
  }
}

}  // namespace eelgrasspin::core::operators
