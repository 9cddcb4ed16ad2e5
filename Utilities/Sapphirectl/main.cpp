#include <LibCore/Hash.h>
#include <LibCore/SettingsReader.h>
#include <LibOperator/OperatorClient.h>
#include <LibOperator/StatementParser.h>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <gflags/gflags.h>
#include <unistd.h>

#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <sstream>

DEFINE_string(vms, "", "operator endpoints of VMs as comma-separated ip:port; tried in order");
DEFINE_string(token_file, "", "file that holds the operator token");
DEFINE_string(operator_name, "", "name of the operator; recorded with each change");
DEFINE_string(command_id, "", "id of the change, to send it again after a lost answer; generated if empty");
DEFINE_string(output, "text", "text or json");
DEFINE_int32(wait_ms, 14'000, "how long to wait for a change to be in force, in milliseconds");

using namespace Sapphire;

namespace {

/// Exit codes, as docs/operators/sapphirectl.md lists them.
enum ExitCode {
    ExitDone = 0,
    ExitUsage = 2,
    ExitRejected = 3,
    ExitConflict = 4,
    ExitRecorded = 5,
    ExitNotDurable = 6,
    ExitUnavailable = 7,
    ExitMayHaveRun = 8,
};

const std::string usage =
    "sends queries and commands of operators to sapphiredeck\n"
    "usage: sapphirectl --vms IP:PORT[,IP:PORT] --token_file FILE --operator_name NAME [STATEMENT]\n"
    "Without a statement, reads one from each line of standard input. 'help' explains the language.\n"
    "Exit codes: 0 done or in force, 2 usage, 3 rejected, 4 conflict, 5 recorded but not in force,\n"
    "6 accepted but not durable, 7 unavailable (nothing changed), 8 may have taken effect\n";

std::string randomHex(std::size_t digits)
{
    // Secrets need the system's generator: RandomSource is predictable.
    std::random_device device;
    std::string text;
    while (text.size() < digits) {
        std::ostringstream part;
        part << std::hex << device();
        text += part.str();
    }
    return text.substr(0, digits);
}

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

/// Appends the hash of a new secret to "grant key KEYID customer CUSTOMER", and sets the new key. The secret itself is
/// never sent. Returns other statements unchanged.
std::string addSecretHash(const std::string &statement, std::string &newKey)
{
    const std::vector<std::string> words = split(statement, ' ');
    if (words.size() != 5 || words[0] != "grant") {
        return statement;
    }
    constexpr std::size_t secretDigits = 40;
    const std::string secret = randomHex(secretDigits);
    newKey = words[2] + "." + secret;
    return statement + " hash " + sha256Hex(secret);
}

int exitCodeOf(const std::string &outcome)
{
    static const std::map<std::string, int> codes {
        { "done", ExitDone },
        { "in-force", ExitDone },
        { "recorded", ExitRecorded },
        { "accepted-not-durable", ExitNotDurable },
        { "rejected", ExitRejected },
        { "conflict", ExitConflict },
        { "unavailable", ExitUnavailable },
        { "may-have-run", ExitMayHaveRun },
    };
    const auto found = codes.find(outcome);
    return found == codes.end() ? ExitRejected : found->second;
}

std::vector<std::string> textsOf(const Poco::JSON::Array::Ptr &array)
{
    std::vector<std::string> texts;
    for (unsigned i = 0; i < array->size(); ++i) {
        texts.push_back(array->getElement<std::string>(i));
    }
    return texts;
}

void printText(const Poco::JSON::Object::Ptr &answer)
{
    const auto message = answer->getValue<std::string>("message");
    if (!message.empty()) {
        std::cout << message << (message.back() == '\n' ? "" : "\n");
    }
    Table table { textsOf(answer->getArray("columns")) };
    const Poco::JSON::Array::Ptr rows = answer->getArray("rows");
    for (unsigned i = 0; i < rows->size(); ++i) {
        table.rows.push_back(textsOf(rows->getArray(i)));
    }
    if (!table.columns.empty()) {
        std::cout << table.text();
    }
    const std::vector<std::string> unconfirmed = textsOf(answer->getArray("unconfirmed"));
    if (!unconfirmed.empty()) {
        std::cout << "not confirmed by:";
        for (const std::string &vm : unconfirmed) {
            std::cout << ' ' << vm;
        }
        std::cout << '\n';
    }
}

int exitCodeOf(const Error &error)
{
    if (error.code == ErrorCode::Unavailable) {
        return error.verdict == Verdict::NotRun ? ExitUnavailable : ExitMayHaveRun;
    }
    return ExitRejected;
}

int runStatement(const OperatorClient &client, const std::string &statement)
{
    // A repeated grant without a hash would print a new secret, which is not the one that the first attempt recorded.
    const bool createsSecret = statement.starts_with("grant") && statement.find(" hash ") == std::string::npos;
    if (createsSecret && !FLAGS_command_id.empty()) {
        std::cerr << "sapphirectl: a grant that is sent again needs the hash that the first attempt printed\n";
        return ExitUsage;
    }
    constexpr std::size_t idDigits = 24;
    std::string newKey;
    const std::string completed = addSecretHash(statement, newKey);
    const std::string commandId = FLAGS_command_id.empty() ? randomHex(idDigits) : FLAGS_command_id;
    const Outcome<std::string> sent = capture([&] {
        return client.send(completed, commandId);
    });
    if (!sent) {
        std::cerr << "sapphirectl: " << sent.error().message << '\n';
        if (sent.error().verdict != Verdict::NotRun) {
            std::cerr << "the change may take effect; send it again with --command_id " << commandId << ": "
                      << completed << '\n';
        }
        return exitCodeOf(sent.error());
    }
    Poco::JSON::Parser parser;
    const auto answer = parser.parse(sent.value()).extract<Poco::JSON::Object::Ptr>();
    const int code = exitCodeOf(answer->getValue<std::string>("outcome"));
    if (FLAGS_output == "json") {
        std::cout << sent.value() << '\n';
    } else {
        printText(answer);
    }
    if (code == ExitMayHaveRun) {
        std::cerr << "send it again with --command_id " << commandId << " to find out: " << completed << '\n';
    }
    if (!newKey.empty() && (code == ExitDone || code == ExitRecorded || code == ExitMayHaveRun)) {
        std::cout << "key: " << newKey << "\nIt is not shown again.\n";
    }
    return code;
}

int runInteractively(const OperatorClient &client)
{
    const bool isTerminal = isatty(STDIN_FILENO) != 0;
    int code = ExitDone;
    while (true) {
        if (isTerminal) {
            std::cout << "sapphire> " << std::flush;
        }
        std::string line;
        if (!std::getline(std::cin, line) || line == "quit" || line == "exit") {
            return code;
        }
        if (line.find_first_not_of(' ') != std::string::npos) {
            code = runStatement(client, line);
        }
    }
}

bool areFlagsUsable(bool isInteractive)
{
    if (FLAGS_vms.empty() || FLAGS_token_file.empty() || FLAGS_operator_name.empty()) {
        std::cerr << "sapphirectl: --vms, --token_file and --operator_name are required\n" << usage;
        return false;
    }
    if (isInteractive && !FLAGS_command_id.empty()) {
        std::cerr << "sapphirectl: --command_id is the id of one change; give the statement on the command line\n";
        return false;
    }
    if (FLAGS_output != "text" && FLAGS_output != "json") {
        std::cerr << "sapphirectl: --output is '" << FLAGS_output << "', expected text or json\n";
        return false;
    }
    return true;
}

int run(int argc, char **argv)
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::string statement;
    for (int i = 1; i < argc; ++i) {
        statement += (i > 1 ? " " : "") + std::string(argv[i]);
    }
    if (statement.starts_with("help")) {
        const std::vector<std::string> words = split(statement, ' ');
        std::cout << helpText(words.size() > 1 ? words[1] : "");
        return ExitDone;
    }
    if (!areFlagsUsable(statement.empty())) {
        return ExitUsage;
    }
    std::ifstream tokenFile(FLAGS_token_file);
    std::string token;
    if (!std::getline(tokenFile, token)) {
        std::cerr << "sapphirectl: token file " << FLAGS_token_file << " can't be read\n";
        return ExitUsage;
    }
    const OperatorClient client({ split(FLAGS_vms, ','), token, FLAGS_operator_name, Milliseconds(FLAGS_wait_ms) });
    return statement.empty() ? runInteractively(client) : runStatement(client, statement);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &exception) {
        // For example an answer that is not JSON, from an address that is not a VM's.
        std::cerr << "sapphirectl: " << exception.what() << '\n';
        return ExitMayHaveRun;
    }
}
