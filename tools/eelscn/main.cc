#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "config/settings.h"
#include "scenario/matrix.h"

namespace {

namespace po = boost::program_options;
using namespace eelgrasspin;  // NOLINT(google-build-using-namespace)

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr Duration kOffsets[] = {milliseconds(0), milliseconds(60),
                                 milliseconds(400)};

std::variant<Declarations, std::string> read_file(const std::string& path) {
  std::ifstream in(path);
  if (!in) return path + ": cannot be read";
  std::ostringstream text;
  text << in.rdbuf();
  Checked<Declarations> checked = config::read_declarations(text.str(), path);
  if (auto* good = std::get_if<Declarations>(&checked)) return *good;
  std::string findings;
  for (const Finding& finding : std::get<std::vector<Finding>>(checked))
    findings += to_string(finding) + "\n";
  return findings;
}

struct Sums {
  int passed = 0;
  int failed = 0;
};

void run_one(const Declarations& declarations, const scenario::Cell& cell,
             Sums& sums) {
  scenario::CellResult result = scenario::run_cell(declarations, cell);
  bool good = result.violations.empty() && result.recovered &&
              result.command_error.empty();
  ++(good ? sums.passed : sums.failed);
  std::cout << "| " << to_string(cell.operation) << " | "
            << to_string(cell.fault) << " | " << to_ms(cell.offset) << " | "
            << to_ms(result.longest_gap) << " | " << result.totals.answered
            << " | " << result.totals.not_run << " | " << result.totals.unknown
            << " | " << (good ? "holds" : "RED");
  if (!result.recovered) std::cout << " not serving at the end;";
  if (!result.command_error.empty())
    std::cout << " refused: " << result.command_error << ";";
  if (!result.violations.empty())
    std::cout << " " << result.violations.size()
              << " violations, first: " << result.violations.front();
  std::cout << " |" << std::endl;
}

int run_matrix(const Declarations& declarations, std::uint64_t seed,
               const std::string& only_fault, const std::string& only_step) {
  std::cout << "| operation | fault | after ms | longest gap ms | answered | "
               "not run | unknown | verdict |\n|---|---|---|---|---|---|---|---"
               "|\n";
  Sums sums;
  for (int operation = 0;
       operation < static_cast<int>(scenario::Operation::kCount); ++operation) {
    for (int fault = 0; fault < static_cast<int>(scenario::Fault::kCount);
         ++fault) {
      scenario::Cell cell{
          .operation = static_cast<scenario::Operation>(operation),
          .fault = static_cast<scenario::Fault>(fault),
          .seed = seed};
      if (!only_fault.empty() && to_string(cell.fault) != only_fault) continue;
      if (!only_step.empty() && to_string(cell.operation) != only_step)
        continue;
      for (Duration offset : kOffsets) {
        cell.offset = offset;
        run_one(declarations, cell, sums);
      }
    }
  }
  std::cout << sums.passed << " passed, " << sums.failed << " failed\n";
  return sums.failed == 0 ? 0 : kExitFailed;
}

int run(int argc, char** argv) {
  po::options_description options("eelscn matrix [options]");
  options.add_options()("help", "this text")(
      "declarations", po::value<std::string>()->required(),
      "declarations to run, INI")(
      "seed", po::value<std::uint64_t>()->default_value(1), "random seed")(
      "fault", po::value<std::string>()->default_value(""), "only this fault")(
      "step", po::value<std::string>()->default_value(""),
      "only this operation")("mode", po::value<std::string>(), "matrix");
  po::positional_options_description positions;
  positions.add("mode", 1);
  po::variables_map values;
  po::store(po::command_line_parser(argc, argv)
                .options(options)
                .positional(positions)
                .run(),
            values);
  if (values.count("help") != 0) {
    std::cout << options;
    return 0;
  }
  po::notify(values);
  if (values.count("mode") == 0 ||
      values["mode"].as<std::string>() != "matrix") {
    std::cerr << "eelscn: expected: matrix\n" << options;
    return kExitUsage;
  }
  auto read = read_file(values["declarations"].as<std::string>());
  if (const auto* wrong = std::get_if<std::string>(&read)) {
    std::cerr << *wrong << "\n";
    return kExitUsage;
  }
  return run_matrix(
      std::get<Declarations>(read), values["seed"].as<std::uint64_t>(),
      values["fault"].as<std::string>(), values["step"].as<std::string>());
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& wrong) {
    std::cerr << "eelscn: " << wrong.what() << "\n";
    return kExitUsage;
  }
}
