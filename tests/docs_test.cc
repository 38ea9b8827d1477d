#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include "config/settings.h"
#include "core/counters.h"
#include "lang/words.h"

/// Checks that the operators' pages document every setting, metric, event and
/// subject in the code.
namespace eelgrasspin {
namespace {

std::string page(const std::string& name) {
  const char* root = std::getenv("EELGRASSPIN_SOURCE");
  std::ifstream in(std::string(root == nullptr ? "." : root) + "/docs/" + name);
  std::ostringstream text;
  text << in.rdbuf();
  EXPECT_FALSE(text.str().empty()) << name;
  return text.str();
}

/// The rows of a table from the one of `section` up to the next section.
std::string rows_of(const std::string& text, const std::string& section) {
  std::size_t start = text.find("| `[" + section);
  if (start == std::string::npos) return {};
  std::size_t end = text.find("\n| `[", start);
  return text.substr(start, end - start);
}

TEST(Docs, SettingsNameEveryKey) {
  std::string text = page("SETTINGS.md");
  auto keys = config::known_keys();
  EXPECT_GT(keys.size(), 30u);
  for (const std::string& key : keys) {
    std::size_t space = key.find(' ');
    std::string rows = rows_of(text, key.substr(0, space));
    EXPECT_NE(rows.find("`" + key.substr(space + 1) + "`"), std::string::npos)
        << key;
  }
}

TEST(Docs, MetricsNameEveryCounter) {
  std::string text = page("METRICS.md");
  auto count = static_cast<std::size_t>(core::Counter::kCount);
  for (std::size_t i = 0; i < count; ++i) {
    core::CounterText counter =
        core::counter_text(static_cast<core::Counter>(i));
    std::string row = "| `eelgrasspin_" + std::string(counter.name) + "` | " +
                      std::string(counter.help) + ". |";
    EXPECT_NE(text.find(row), std::string::npos) << row;
  }
}

/// All texts that the pattern's first group matches in the .cc files of
/// `folder`.
std::set<std::string> names_in(const std::string& folder,
                               const std::regex& pattern) {
  const char* root = std::getenv("EELGRASSPIN_SOURCE");
  std::set<std::string> names;
  std::filesystem::path path =
      std::filesystem::path(root == nullptr ? "." : root) / folder;
  for (const auto& entry : std::filesystem::directory_iterator(path)) {
    if (entry.path().extension() != ".cc") continue;
    std::ifstream in(entry.path());
    std::ostringstream text;
    text << in.rdbuf();
    std::string source = text.str();
    for (std::sregex_iterator it(source.begin(), source.end(), pattern), end;
         it != end; ++it) {
      names.insert((*it)[1]);
    }
  }
  return names;
}

TEST(Docs, OperationsNameEveryEventAndCounter) {
  std::string text = page("OPERATIONS.md");
  std::set<std::string> names =
      names_in("src/fleet", std::regex("log_event\\(effects, \"([a-z_]+)\""));
  EXPECT_GT(names.size(), 20u);
  names.merge(names_in("src/io", std::regex("LogEvent\\{\"([a-z_]+)\"")));
  names.merge(names_in("src/io", std::regex("\"(fleet_[a-z_]+)\"")));
  for (const std::string& name : names) {
    bool named = text.find("`" + name + "`") != std::string::npos ||
                 text.find("eelgrasspin_" + name) != std::string::npos;
    EXPECT_TRUE(named) << name;
  }
}

TEST(Docs, CommandsNameEverySubject) {
  std::string text = page("COMMANDS.md");
  for (const std::string& subject : lang::subject_words()) {
    EXPECT_NE(text.find("\"" + subject + "\""), std::string::npos) << subject;
  }
}

}  // namespace
}  // namespace eelgrasspin
