// Settings from flags and environment variables, on Boost.Program_options.
#include "tamarack/adapters.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <fstream>
#include <iostream>
#include <unistd.h>

namespace tamarack::adapters {

namespace {

namespace po = boost::program_options;

constexpr std::string_view EnvironmentPrefix = "TAMARACK_";

std::string variableOf(std::string_view Name) {
  std::string Variable(EnvironmentPrefix);
  for (char Letter : Name)
    Variable.push_back(Letter == '-'
                           ? '_'
                           : static_cast<char>(std::toupper(
                                 static_cast<unsigned char>(Letter))));
  return Variable;
}

bool readDecimal(const std::string &Text, double &Result) {
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Read = std::from_chars(Text.data(), End, Result);
  return !Text.empty() && Read.ec == std::errc() && Read.ptr == End;
}

bool readWhole(const std::string &Text, std::int64_t &Result) {
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Read = std::from_chars(Text.data(), End, Result);
  return !Text.empty() && Read.ec == std::errc() && Read.ptr == End;
}

std::string joined(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const std::string &Line : Lines)
    Text += (Text.empty() ? "" : "\n") + Line;
  return Text;
}

} // namespace

program_settings::program_settings(std::string Program, std::string Summary)
    : Program(std::move(Program)), Summary(std::move(Summary)) {}

void program_settings::addText(std::string Name, const char *Default,
                               std::string Help) {
  setting Setting;
  Setting.Required = Default == nullptr;
  Setting.Default = Default == nullptr ? "" : Default;
  Setting.Help = std::move(Help);
  Settings.emplace(std::move(Name), std::move(Setting));
}

void program_settings::addNumber(std::string Name, const char *Default,
                                 std::int64_t Least, std::int64_t Largest,
                                 std::string Help) {
  setting Setting;
  Setting.Kind = kind::Number;
  Setting.Required = Default == nullptr;
  Setting.Default = Default == nullptr ? "" : Default;
  Setting.Help = std::move(Help);
  Setting.Least = Least;
  Setting.Largest = Largest;
  Settings.emplace(std::move(Name), std::move(Setting));
}

void program_settings::addDecimal(std::string Name, const char *Default,
                                  double Least, double Largest,
                                  std::string Help) {
  setting Setting;
  Setting.Kind = kind::Decimal;
  Setting.Required = Default == nullptr;
  Setting.Default = Default == nullptr ? "" : Default;
  Setting.Help = std::move(Help);
  Setting.LeastDecimal = Least;
  Setting.LargestDecimal = Largest;
  Settings.emplace(std::move(Name), std::move(Setting));
}

void program_settings::addSettingsFile(std::string Name, std::string Help) {
  FileSetting = Name;
  addText(std::move(Name), "", std::move(Help));
}

void program_settings::addFlag(std::string Name, std::string Help) {
  setting Setting;
  Setting.Kind = kind::Flag;
  Setting.Default = "false";
  Setting.Help = std::move(Help);
  Settings.emplace(std::move(Name), std::move(Setting));
}

void program_settings::allowPositionals(std::string Help) {
  AllowWords = true;
  WordsHelp = std::move(Help);
}

bool program_settings::read(int Count, const char *const *Arguments,
                            const settings_check *Extra) {
  po::options_description Described("Settings");
  Described.add_options()("help", "print this text and end");
  for (const auto &[Name, Setting] : Settings) {
    std::string Help = Setting.Help + " [" + variableOf(Name) + "]";
    if (!Setting.Default.empty() && Setting.Kind != kind::Flag)
      Help += " (default " + Setting.Default + ")";
    if (Setting.Required)
      Help += " (required)";
    if (Setting.Kind == kind::Flag)
      Described.add_options()(Name.c_str(), Help.c_str());
    else
      Described.add_options()(Name.c_str(), po::value<std::string>(),
                              Help.c_str());
  }
  std::vector<std::string> Errors;
  for (auto &[Name, Setting] : Settings)
    Setting.Value = Setting.Default;
  std::set<std::string> Given;
  readEnvironment(Given, Errors);
  try {
    const po::parsed_options Parsed =
        po::command_line_parser(Count, Arguments)
            .options(Described)
            .style(po::command_line_style::unix_style ^
                   po::command_line_style::allow_guessing)
            .allow_unregistered()
            .run();
    for (const auto &Option : Parsed.options) {
      if (Option.string_key == "help") {
        std::cout << Program << ": " << Summary << "\n";
        if (AllowWords)
          std::cout << "\n" << WordsHelp << "\n";
        std::cout << "\n" << Described;
        return false;
      }
      if (Option.position_key >= 0) {
        if (AllowWords)
          Words.insert(Words.end(), Option.value.begin(), Option.value.end());
        else
          Errors.push_back("unexpected word: " + Option.value.front());
        continue;
      }
      auto Found = Settings.find(Option.string_key);
      if (Option.unregistered || Found == Settings.end()) {
        Errors.push_back("unknown flag: " +
                         (Option.original_tokens.empty()
                              ? Option.string_key
                              : Option.original_tokens.front()));
        continue;
      }
      Found->second.Value =
          Option.value.empty() ? "true" : Option.value.front();
      Given.insert(Option.string_key);
    }
    if (!FileSetting.empty() && !getText(FileSetting).empty())
      readFile(getText(FileSetting), Given, Errors);
  } catch (const po::error &Error) {
    Errors.emplace_back(Error.what());
  }
  check(Errors);
  if (Extra != nullptr)
    Extra->check(*this, Errors);
  if (!Errors.empty())
    throw settings_error(joined(Errors));
  return true;
}

// Lines NAME = VALUE. Flags and variables that are Given win.
void program_settings::readFile(const std::string &Path,
                                const std::set<std::string> &Given,
                                std::vector<std::string> &Errors) {
  std::ifstream In(Path);
  if (!In) {
    Errors.push_back("can't read the settings file " + Path);
    return;
  }
  const po::options_description None;
  const po::parsed_options Parsed = po::parse_config_file(In, None, true);
  for (const auto &Option : Parsed.options) {
    auto Found = Settings.find(Option.string_key);
    if (Found == Settings.end())
      Errors.push_back("unknown setting in " + Path + ": " + Option.string_key);
    else if (!Given.contains(Option.string_key) && !Option.value.empty())
      Found->second.Value = Option.value.front();
  }
}

void program_settings::readEnvironment(std::set<std::string> &Given,
                                       std::vector<std::string> &Errors) {
  std::map<std::string, std::string> NameOf;
  for (const auto &[Name, Setting] : Settings)
    NameOf[variableOf(Name)] = Name;
  for (char **Item = environ; *Item != nullptr; ++Item) {
    const std::string_view Text(*Item);
    if (!Text.starts_with(EnvironmentPrefix))
      continue;
    const std::size_t Equals = Text.find('=');
    const std::string Variable(Text.substr(0, Equals));
    auto Found = NameOf.find(Variable);
    if (Found == NameOf.end()) {
      Errors.push_back("unknown variable: " + Variable);
      continue;
    }
    Settings.find(Found->second)->second.Value =
        std::string(Text.substr(Equals + 1));
    Given.insert(Found->second);
  }
}

void program_settings::check(std::vector<std::string> &Errors) {
  for (const auto &[Name, Setting] : Settings) {
    if (Setting.Required && Setting.Value.empty())
      Errors.push_back("--" + Name + " is required");
    if (Setting.Kind == kind::Flag && Setting.Value != "true" &&
        Setting.Value != "false")
      Errors.push_back("--" + Name + " must be true or false");
    double Decimal = 0;
    if (Setting.Kind == kind::Decimal && !Setting.Value.empty() &&
        !(readDecimal(Setting.Value, Decimal) &&
          Decimal >= Setting.LeastDecimal && Decimal <= Setting.LargestDecimal))
      Errors.push_back("--" + Name + " must be a number from " +
                       std::to_string(Setting.LeastDecimal) + " to " +
                       std::to_string(Setting.LargestDecimal) + ", not \"" +
                       Setting.Value + "\"");
    if (Setting.Kind != kind::Number || Setting.Value.empty())
      continue;
    std::int64_t Number = 0;
    const bool Good = readWhole(Setting.Value, Number) &&
                      Number >= Setting.Least && Number <= Setting.Largest;
    if (!Good)
      Errors.push_back("--" + Name + " must be a whole number from " +
                       std::to_string(Setting.Least) + " to " +
                       std::to_string(Setting.Largest) + ", not \"" +
                       Setting.Value + "\"");
  }
}

const program_settings::setting &program_settings::find(std::string_view Name,
                                                        kind Kind) const {
  auto Found = Settings.find(Name);
  assert(Found != Settings.end() && Found->second.Kind == Kind &&
         "declare a setting before reading it, with the same kind");
  (void)Kind;
  return Found->second;
}

const std::string &program_settings::getText(std::string_view Name) const {
  return find(Name, kind::Text).Value;
}

std::int64_t program_settings::getNumber(std::string_view Name) const {
  std::int64_t Number = 0;
  readWhole(find(Name, kind::Number).Value, Number);
  return Number;
}

double program_settings::getDecimal(std::string_view Name) const {
  double Value = 0;
  readDecimal(find(Name, kind::Decimal).Value, Value);
  return Value;
}

bool program_settings::getFlag(std::string_view Name) const {
  return find(Name, kind::Flag).Value == "true";
}

void addTlsSettings(program_settings &Settings, const std::string &Prefix,
                    std::string_view Subject) {
  const std::string Of(Subject);
  Settings.addText(Prefix + "tls-cert", "",
                   "own certificate for " + Of + ", PEM");
  Settings.addText(Prefix + "tls-key", "",
                   "own private key for " + Of + ", PEM");
  Settings.addText(Prefix + "tls-ca", "",
                   "certificates that sign the other side's for " + Of +
                       ", PEM");
}

void checkTlsSettings(const program_settings &Settings,
                      const std::string &Prefix,
                      std::vector<std::string> &Errors) {
  int Given = 0;
  for (const char *Name : {"tls-cert", "tls-key", "tls-ca"})
    Given += Settings.getText(Prefix + Name).empty() ? 0 : 1;
  if (Given != 0 && Given != 3)
    Errors.push_back("--" + Prefix + "tls-cert, --" + Prefix +
                     "tls-key and --" + Prefix +
                     "tls-ca go together: give all or none");
}

tls_files readTlsFiles(const program_settings &Settings,
                       const std::string &Prefix) {
  tls_files Files;
  Files.CertificateFile = Settings.getText(Prefix + "tls-cert");
  Files.KeyFile = Settings.getText(Prefix + "tls-key");
  Files.CaFile = Settings.getText(Prefix + "tls-ca");
  return Files;
}

} // namespace tamarack::adapters
