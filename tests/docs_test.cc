#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "config/settings.h"
#include "core/counters.h"
#include "lang/words.h"

/// The operators' pages name everything that the code knows.
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

/// The rows of a table from the one that names `section` to the next section.
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

TEST(Docs, CommandsNameEverySubject) {
  std::string text = page("COMMANDS.md");
  for (const std::string& subject : lang::subject_words()) {
    EXPECT_NE(text.find("\"" + subject + "\""), std::string::npos) << subject;
  }
}

}  // namespace
}  // namespace eelgrasspin
