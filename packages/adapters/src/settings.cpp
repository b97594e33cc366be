// program_settings: flags, environment variables and the settings file on
// Boost.Program_options.
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

// "log-level" -> "TAMARACK_LOG_LEVEL".
std::string environmentVariableOf(std::string_view Name) {
  std::string Variable(EnvironmentPrefix);
  for (char Character : Name)
    Variable.push_back(Character == '-'
                           ? '_'
                           : static_cast<char>(std::toupper(
                                 static_cast<unsigned char>(Character))));
  return Variable;
}

bool parseDecimal(const std::string &Text, double &Result) {
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Parsed =
      std::from_chars(Text.data(), End, Result);
  return !Text.empty() && Parsed.ec == std::errc() && Parsed.ptr == End;
}

bool parseNumber(const std::string &Text, std::int64_t &Result) {
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Parsed =
      std::from_chars(Text.data(), End, Result);
  return !Text.empty() && Parsed.ec == std::errc() && Parsed.ptr == End;
}

std::string joinLines(const std::vector<std::string> &Lines) {
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
                                 std::int64_t Min, std::int64_t Max,
                                 std::string Help) {
  setting Setting;
  Setting.Type = value_type::Number;
  Setting.Required = Default == nullptr;
  Setting.Default = Default == nullptr ? "" : Default;
  Setting.Help = std::move(Help);
  Setting.Min = Min;
  Setting.Max = Max;
  Settings.emplace(std::move(Name), std::move(Setting));
}

void program_settings::addDecimal(std::string Name, const char *Default,
                                  double Min, double Max, std::string Help) {
  setting Setting;
  Setting.Type = value_type::Decimal;
  Setting.Required = Default == nullptr;
  Setting.Default = Default == nullptr ? "" : Default;
  Setting.Help = std::move(Help);
  Setting.MinDecimal = Min;
  Setting.MaxDecimal = Max;
  Settings.emplace(std::move(Name), std::move(Setting));
}

void program_settings::addSettingsFile(std::string Name, std::string Help) {
  FileSettingName = Name;
  addText(std::move(Name), "", std::move(Help));
}

void program_settings::addFlag(std::string Name, std::string Help) {
  setting Setting;
  Setting.Type = value_type::Flag;
  Setting.Default = "false";
  Setting.Help = std::move(Help);
  Settings.emplace(std::move(Name), std::move(Setting));
}

void program_settings::allowPositionals(std::string Help) {
  PositionalsAllowed = true;
  PositionalsHelp = std::move(Help);
}

bool program_settings::read(int ArgumentCount, const char *const *Arguments,
                            const settings_check *ExtraCheck) {
  po::options_description Options("Settings");
  Options.add_options()("help", "print this text and exit");
  for (const auto &[Name, Setting] : Settings) {
    std::string Help = Setting.Help + " [" + environmentVariableOf(Name) + "]";
    if (!Setting.Default.empty() && Setting.Type != value_type::Flag)
      Help += " (default " + Setting.Default + ")";
    if (Setting.Required)
      Help += " (required)";
    if (Setting.Type == value_type::Flag)
      Options.add_options()(Name.c_str(), Help.c_str());
    else
      Options.add_options()(Name.c_str(), po::value<std::string>(),
                            Help.c_str());
  }
  std::vector<std::string> Errors;
  for (auto &[Name, Setting] : Settings)
    Setting.Value = Setting.Default;
  std::set<std::string> AlreadySet;
  readEnvironment(AlreadySet, Errors);
  try {
    const po::parsed_options Parsed =
        po::command_line_parser(ArgumentCount, Arguments)
            .options(Options)
            .style(po::command_line_style::unix_style ^
                   po::command_line_style::allow_guessing)
            .allow_unregistered()
            .run();
    for (const auto &Option : Parsed.options) {
      if (Option.string_key == "help") {
        std::cout << Program << ": " << Summary << "\n";
        if (PositionalsAllowed)
          std::cout << "\n" << PositionalsHelp << "\n";
        std::cout << "\n" << Options;
        return false;
      }
      if (Option.position_key >= 0) {
        if (PositionalsAllowed)
          Positionals.insert(Positionals.end(), Option.value.begin(),
                             Option.value.end());
        else
          Errors.push_back("unexpected argument: " + Option.value.front());
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
      assign(Found->second,
             Option.value.empty() ? "true" : Option.value.front());
      AlreadySet.insert(Option.string_key);
    }
    if (!FileSettingName.empty() && !getText(FileSettingName).empty())
      readSettingsFile(getText(FileSettingName), AlreadySet, Errors);
  } catch (const po::error &Error) {
    Errors.emplace_back(Error.what());
  }
  checkValues(Errors);
  if (ExtraCheck != nullptr)
    ExtraCheck->check(*this, Errors);
  if (!Errors.empty())
    throw settings_error(joinLines(Errors));
  return true;
}

// Settings that a flag or a variable has set keep their value.
void program_settings::readSettingsFile(const std::string &Path,
                                        const std::set<std::string> &AlreadySet,
                                        std::vector<std::string> &Errors) {
  std::ifstream In(Path);
  if (!In) {
    Errors.push_back("can't read the settings file " + Path);
    return;
  }
  const po::options_description NoOptions;
  const po::parsed_options Parsed = po::parse_config_file(In, NoOptions, true);
  for (const auto &Option : Parsed.options) {
    auto Found = Settings.find(Option.string_key);
    if (Found == Settings.end())
      Errors.push_back("unknown setting in " + Path + ": " + Option.string_key);
    else if (!AlreadySet.contains(Option.string_key) && !Option.value.empty())
      assign(Found->second, Option.value.front());
  }
}

void program_settings::readEnvironment(std::set<std::string> &AlreadySet,
                                       std::vector<std::string> &Errors) {
  std::map<std::string, std::string> NameOfVariable;
  for (const auto &[Name, Setting] : Settings)
    NameOfVariable[environmentVariableOf(Name)] = Name;
  for (char **Entry = environ; *Entry != nullptr; ++Entry) {
    const std::string_view Text(*Entry);
    if (!Text.starts_with(EnvironmentPrefix))
      continue;
    const std::size_t Equals = Text.find('=');
    const std::string Variable(Text.substr(0, Equals));
    auto Found = NameOfVariable.find(Variable);
    if (Found == NameOfVariable.end()) {
      Errors.push_back("unknown environment variable: " + Variable);
      continue;
    }
    assign(Settings.find(Found->second)->second,
           std::string(Text.substr(Equals + 1)));
    AlreadySet.insert(Found->second);
  }
}

// A template leaves a value empty that its platform does not know. An empty
// number would be read as 0.
void program_settings::assign(setting &Setting, std::string Value) {
  const bool IsNumber =
      Setting.Type == value_type::Number || Setting.Type == value_type::Decimal;
  Setting.Value =
      IsNumber && Value.empty() ? Setting.Default : std::move(Value);
}

void program_settings::checkValues(std::vector<std::string> &Errors) {
  for (const auto &[Name, Setting] : Settings) {
    if (Setting.Required && Setting.Value.empty())
      Errors.push_back("--" + Name + " is required");
    if (Setting.Type == value_type::Flag && Setting.Value != "true" &&
        Setting.Value != "false")
      Errors.push_back("--" + Name + " must be true or false");
    double Decimal = 0;
    if (Setting.Type == value_type::Decimal && !Setting.Value.empty() &&
        !(parseDecimal(Setting.Value, Decimal) &&
          Decimal >= Setting.MinDecimal && Decimal <= Setting.MaxDecimal))
      Errors.push_back("--" + Name + " must be a number from " +
                       std::to_string(Setting.MinDecimal) + " to " +
                       std::to_string(Setting.MaxDecimal) + ", not \"" +
                       Setting.Value + "\"");
    if (Setting.Type != value_type::Number || Setting.Value.empty())
      continue;
    std::int64_t Number = 0;
    const bool IsValid = parseNumber(Setting.Value, Number) &&
                         Number >= Setting.Min && Number <= Setting.Max;
    if (!IsValid)
      Errors.push_back("--" + Name + " must be a whole number from " +
                       std::to_string(Setting.Min) + " to " +
                       std::to_string(Setting.Max) + ", not \"" +
                       Setting.Value + "\"");
  }
}

const program_settings::setting &
program_settings::findSetting(std::string_view Name, value_type Type) const {
  auto Found = Settings.find(Name);
  assert(Found != Settings.end() && Found->second.Type == Type &&
         "declare a setting before reading it, with the same type");
  (void)Type;
  return Found->second;
}

const std::string &program_settings::getText(std::string_view Name) const {
  return findSetting(Name, value_type::Text).Value;
}

std::int64_t program_settings::getNumber(std::string_view Name) const {
  std::int64_t Number = 0;
  parseNumber(findSetting(Name, value_type::Number).Value, Number);
  return Number;
}

double program_settings::getDecimal(std::string_view Name) const {
  double Value = 0;
  parseDecimal(findSetting(Name, value_type::Decimal).Value, Value);
  return Value;
}

bool program_settings::getFlag(std::string_view Name) const {
  return findSetting(Name, value_type::Flag).Value == "true";
}

void addTlsSettings(program_settings &Settings, const std::string &NamePrefix,
                    std::string_view Purpose) {
  const std::string For = " for " + std::string(Purpose);
  Settings.addText(NamePrefix + "tls-cert", "",
                   "PEM file of the own certificate chain" + For);
  Settings.addText(NamePrefix + "tls-key", "",
                   "PEM file of the own private key" + For);
  Settings.addText(NamePrefix + "tls-ca", "",
                   "PEM file of the trusted certificate authorities" + For);
}

void checkTlsSettings(const program_settings &Settings,
                      const std::string &NamePrefix,
                      std::vector<std::string> &Errors) {
  int GivenPaths = 0;
  for (const char *Name : {"tls-cert", "tls-key", "tls-ca"})
    GivenPaths += Settings.getText(NamePrefix + Name).empty() ? 0 : 1;
  if (GivenPaths != 0 && GivenPaths != 3)
    Errors.push_back("--" + NamePrefix + "tls-cert, --" + NamePrefix +
                     "tls-key and --" + NamePrefix +
                     "tls-ca go together: give all or none");
}

tls_files readTlsFiles(const program_settings &Settings,
                       const std::string &NamePrefix) {
  tls_files Files;
  Files.CertificateFile = Settings.getText(NamePrefix + "tls-cert");
  Files.KeyFile = Settings.getText(NamePrefix + "tls-key");
  Files.CaFile = Settings.getText(NamePrefix + "tls-ca");
  return Files;
}

} // namespace tamarack::adapters
