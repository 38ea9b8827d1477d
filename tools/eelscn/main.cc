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
/// From the start of the operation to the fault.
constexpr Duration kFaultOffsets[] = {milliseconds(0), milliseconds(60),
                                      milliseconds(400)};

/// The declarations, or text that says what is wrong with the file.
std::variant<Declarations, std::string> load_declarations(
    const std::string& path) {
  std::ifstream file(path);
  if (!file) return path + ": cannot be read";
  std::ostringstream text;
  text << file.rdbuf();
  Checked<Declarations> checked = config::read_declarations(text.str(), path);
  if (auto* declarations = std::get_if<Declarations>(&checked))
    return *declarations;
  std::string findings;
  for (const Finding& finding : std::get<std::vector<Finding>>(checked))
    findings += to_string(finding) + "\n";
  return findings;
}

struct CellCounts {
  int passed = 0;
  int failed = 0;
};

void run_and_print_cell(const Declarations& declarations,
                        const scenario::Cell& cell, CellCounts& cell_counts) {
  scenario::CellResult result = scenario::run_cell(declarations, cell);
  bool cell_passed = result.violations.empty() && result.recovered &&
                     result.command_error.empty();
  ++(cell_passed ? cell_counts.passed : cell_counts.failed);
  std::cout << "| " << to_string(cell.operation) << " | "
            << to_string(cell.fault) << " | " << to_ms(cell.offset) << " | "
            << to_ms(result.longest_gap) << " | " << result.totals.answered
            << " | " << result.totals.not_run << " | " << result.totals.unknown
            << " | " << (cell_passed ? "holds" : "RED");
  if (!result.recovered) std::cout << " not serving at the end;";
  if (!result.command_error.empty())
    std::cout << " refused: " << result.command_error << ";";
  if (!result.violations.empty())
    std::cout << " " << result.violations.size()
              << " violations, first: " << result.violations.front();
  std::cout << " |" << std::endl;
}

int run_matrix(const Declarations& declarations, std::uint64_t seed,
               const std::string& only_fault,
               const std::string& only_operation) {
  std::cout << "| operation | fault | after ms | longest gap ms | answered | "
               "not run | unknown | verdict |\n|---|---|---|---|---|---|---|---"
               "|\n";
  CellCounts cell_counts;
  for (int operation = 0;
       operation < static_cast<int>(scenario::Operation::kCount); ++operation) {
    for (int fault = 0; fault < static_cast<int>(scenario::Fault::kCount);
         ++fault) {
      scenario::Cell cell{
          .operation = static_cast<scenario::Operation>(operation),
          .fault = static_cast<scenario::Fault>(fault),
          .seed = seed};
      if (!only_fault.empty() && to_string(cell.fault) != only_fault) continue;
      if (!only_operation.empty() &&
          to_string(cell.operation) != only_operation)
        continue;
      for (Duration offset : kFaultOffsets) {
        cell.offset = offset;
        run_and_print_cell(declarations, cell, cell_counts);
      }
    }
  }
  std::cout << cell_counts.passed << " passed, " << cell_counts.failed
            << " failed\n";
  return cell_counts.failed == 0 ? 0 : kExitFailed;
}

int run(int argc, char** argv) {
  po::options_description description("eelscn matrix [options]");
  description.add_options()("help", "print this help")(
      "declarations", po::value<std::string>()->required(),
      "declarations of the deployment (INI file)")(
      "seed", po::value<std::uint64_t>()->default_value(1), "random seed")(
      "fault", po::value<std::string>()->default_value(""),
      "run only this fault")(
      "step", po::value<std::string>()->default_value(""),
      "run only this operation")("mode", po::value<std::string>(), "matrix");
  po::positional_options_description positions;
  positions.add("mode", 1);
  po::variables_map values;
  po::store(po::command_line_parser(argc, argv)
                .options(description)
                .positional(positions)
                .run(),
            values);
  if (values.count("help") != 0) {
    std::cout << description;
    return 0;
  }
  po::notify(values);
  if (values.count("mode") == 0 ||
      values["mode"].as<std::string>() != "matrix") {
    std::cerr << "eelscn: expected: matrix\n" << description;
    return kExitUsage;
  }
  auto loaded = load_declarations(values["declarations"].as<std::string>());
  if (const auto* problem = std::get_if<std::string>(&loaded)) {
    std::cerr << *problem << "\n";
    return kExitUsage;
  }
  return run_matrix(
      std::get<Declarations>(loaded), values["seed"].as<std::uint64_t>(),
      values["fault"].as<std::string>(), values["step"].as<std::string>());
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& failure) {
    std::cerr << "eelscn: " << failure.what() << "\n";
    return kExitUsage;
  }
}
