#include <algorithm>
#include <boost/json.hpp>
#include <stdexcept>
#include <string_view>

#include "codec/fleet_fields_p.h"
#include "codec/fleet_json.h"

namespace eelgrasspin::codec {
namespace {

namespace json = boost::json;

json::object server_object(const fleet::Server& server) {
  return {{"name", server.name.str()},
          {"address", server.address.str()},
          {"service", server.service.str()},
          {"zone", server.zone.str()},
          {"slots", server.slots},
          {"incarnation", server.incarnation.value},
          {"draining", server.draining},
          {"cold_ms", to_ms(server.warm_up_left)}};
}

fleet::Server server_of(const json::object& object) {
  fleet::Server server;
  server.name = ServerName(text_of(object, "name"));
  server.address = Endpoint(text_of(object, "address"));
  server.service = ServiceName(text_of(object, "service"));
  server.zone = ZoneName(text_of(object, "zone"));
  server.slots = object.at("slots").to_number<std::uint32_t>();
  server.incarnation = Incarnation(number(object.at("incarnation")));
  server.draining = object.at("draining").as_bool();
  server.warm_up_left = milliseconds(number(object.at("cold_ms")));
  if (server.slots == 0) throw std::runtime_error("server has no slots");
  return server;
}

constexpr std::string_view kUploadMark = "upload";

json::array route_array(const fleet::Route& route) {
  json::array destinations;
  for (const fleet::Destination& destination : route.destinations) {
    destinations.push_back(
        json::array{destination.service.str(), destination.weight});
  }
  json::array parts = {
      route.name,           route.host,     route.prefix,
      route.repeatable,     route.priority, to_ms(route.objective),
      to_ms(route.timeout), route.attempts, std::move(destinations)};
  // Absent from other routes, as earlier versions write them.
  if (!route.allowed_regions.empty()) {
    json::array regions;
    for (const RegionName& region : route.allowed_regions)
      regions.emplace_back(region.str());
    parts.emplace_back(std::move(regions));
  }
  if (route.upload) parts.emplace_back(kUploadMark);
  return parts;
}

fleet::Route route_of(const json::array& parts) {
  fleet::Route route;
  route.name = std::string(view_of(parts.at(0)));
  route.host = std::string(view_of(parts.at(1)));
  route.prefix = std::string(view_of(parts.at(2)));
  route.repeatable = parts.at(3).as_bool();
  route.priority = parts.at(4).to_number<std::uint32_t>();
  route.objective = milliseconds(number(parts.at(5)));
  route.timeout = milliseconds(number(parts.at(6)));
  route.attempts = parts.at(7).to_number<std::uint32_t>();
  for (const json::value& value : parts.at(8).as_array()) {
    const json::array& destination = value.as_array();
    route.destinations.push_back(
        {ServiceName(view_of(destination.at(0))),
         destination.at(1).to_number<std::uint32_t>()});
  }
  for (std::size_t i = 9; i < parts.size(); ++i) {
    if (parts[i].is_array()) {
      for (const json::value& region : parts[i].as_array())
        route.allowed_regions.emplace_back(view_of(region));
    } else if (view_of(parts[i]) == kUploadMark) {
      route.upload = true;
    }
  }
  // Reading the store never yields such a route, so one received from a daemon
  // is invalid.
  if (route.destinations.empty() || route.attempts == 0 ||
      route.timeout.count() <= 0) {
    throw std::runtime_error("route has no destinations, timeout or attempts");
  }
  return route;
}

json::object configuration_object(const fleet::Configuration& configuration) {
  json::array routes;
  for (const fleet::Route& route : configuration.routes) {
    routes.push_back(route_array(route));
  }
  json::array services;
  for (const auto& [name, service] : configuration.services) {
    services.push_back(json::array{name.str(), service.keyed,
                                   service.cold_rate.per_second,
                                   to_ms(service.cold_time)});
  }
  const fleet::CallerLimits& limits = configuration.limits;
  return {{"version", configuration.version},
          {"routes", std::move(routes)},
          {"services", std::move(services)},
          {"limits", json::array{limits.header_bytes, limits.body_bytes,
                                 to_ms(limits.header_timeout),
                                 to_ms(limits.idle_timeout)}}};
}

fleet::Service service_of(const ServiceName& name, const json::array& parts) {
  fleet::Service service;
  service.name = name;
  service.keyed = parts.at(1).as_bool();
  // Earlier versions name no rate for cold servers.
  if (parts.size() > 3) {
    service.cold_rate = {parts.at(2).to_number<double>()};
    service.cold_time = milliseconds(number(parts.at(3)));
  }
  return service;
}

std::shared_ptr<const fleet::Configuration> configuration_of(
    const json::object& object) {
  auto configuration = std::make_shared<fleet::Configuration>();
  configuration->version = number(object.at("version"));
  for (const json::value& route : object.at("routes").as_array()) {
    configuration->routes.push_back(route_of(route.as_array()));
  }
  for (const json::value& value : object.at("services").as_array()) {
    const json::array& service = value.as_array();
    ServiceName name(view_of(service.at(0)));
    configuration->services[name] = service_of(name, service);
  }
  const json::array& limits = object.at("limits").as_array();
  configuration->limits = {limits.at(0).to_number<std::size_t>(),
                           limits.at(1).to_number<std::size_t>(),
                           milliseconds(number(limits.at(2))),
                           milliseconds(number(limits.at(3)))};
  return configuration;
}

}  // namespace

json::object store_update_object(const fleet::StoreUpdate& update) {
  json::object object = {{"view", static_cast<std::uint64_t>(update.view)},
                         {"base", update.base.revision.value},
                         {"as_of", update.as_of.revision.value}};
  if (update.states_era) {
    object["era"] = update.as_of.era.value;
    object["base_era"] = update.base.era.value;
  }
  if (update.since_outage) {
    object["since_outage_ms"] = to_ms(*update.since_outage);
  }
  if (update.configuration) {
    object["configuration"] = configuration_object(*update.configuration);
    object["configuration_revision"] = update.configuration_revision.value;
  }
  json::array servers;
  for (const auto& change : update.servers) {
    if (const auto* server = std::get_if<fleet::Server>(&change)) {
      servers.push_back(server_object(*server));
    } else {
      servers.push_back(json::value(std::get<ServerName>(change).str()));
    }
  }
  if (!servers.empty()) object["servers"] = std::move(servers);
  return object;
}

fleet::StoreUpdate store_update_of(const json::object& object) {
  fleet::StoreUpdate update;
  update.view = number(object.at("view")) == 0
                    ? fleet::StoreView::kConfiguration
                    : fleet::StoreView::kServers;
  update.base.revision = Version(number(object.at("base")));
  update.as_of.revision = Version(number(object.at("as_of")));
  if (const json::value* era = object.if_contains("era")) {
    update.states_era = true;
    update.as_of.era = StoreEra(number(*era));
    update.base.era = StoreEra(number(object.at("base_era")));
  }
  if (const json::value* since = object.if_contains("since_outage_ms")) {
    update.since_outage = milliseconds(number(*since));
  }
  if (const json::value* value = object.if_contains("configuration")) {
    update.configuration = configuration_of(value->as_object());
    update.configuration_revision =
        Version(number(object.at("configuration_revision")));
  }
  if (const json::value* servers = object.if_contains("servers")) {
    for (const json::value& change : servers->as_array()) {
      if (change.is_string()) {
        update.servers.emplace_back(ServerName(view_of(change)));
      } else {
        update.servers.emplace_back(server_of(change.as_object()));
      }
    }
  }
  return update;
}

std::string encode_store_update(const fleet::StoreUpdate& update) {
  return json::serialize(store_update_object(update));
}

}  // namespace eelgrasspin::codec
