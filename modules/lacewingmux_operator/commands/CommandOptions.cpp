#include "lacewingmux_operator/commands/CommandOptions.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QFile>

#include <cxxopts.hpp>

#include <string>

namespace lacewingmux {

namespace {

using Texts = std::vector<std::string>;

constexpr const char *commandsText = R"(
Commands:
  config get                          the document in the store, with its revision
  config check FILE                   look for faults in a document
  config apply FILE --revision N      replace the document if revision N still stands (0: none yet)
  config edit --set /POINTER=VALUE    change single fields of the document that stands
  key issue --team TEAM               make a key; its text is shown this once
  key withdraw KEYID                  end a key
  key list                            all keys, without their secrets
  records lost VM                     stop waiting for a records VM that is lost for good
  status                              views, replicas, shares and revisions in force
  program show ID, program end ID     one program
  report burn                         service-level burn of every team and route

FILE may be - for the standard input. Exit codes: 0 done, 1 failed, 2 wrong command line,
3 conflict, 4 faults in the document or unknown name, 5 store unavailable, 6 result unknown,
7 not in force everywhere in time, 8 no daemon reachable.
)";

cxxopts::Options describeOptions()
{
    cxxopts::Options options("lacewingmuxctl", "Operates lacewingmux.");
    auto add = options.add_options();
    add("store", "endpoint of the platform's store, may be repeated", cxxopts::value<Texts>());
    add("operator", "operators' endpoint of a daemon, may be repeated", cxxopts::value<Texts>());
    add("token-file", "file with the token for the operators' endpoints",
        cxxopts::value<std::string>());
    add("json", "print JSON for programs");
    add("revision", "the revision that the change is for", cxxopts::value<std::uint64_t>());
    add("wait", "end when the revision is in force in every zone");
    add("timeout", "longest wait, in seconds",
        cxxopts::value<std::uint32_t>()->default_value("30"));
    add("team", "the team of a new key", cxxopts::value<std::string>());
    add("author", "who makes the change, kept with it", cxxopts::value<std::string>());
    add("set", "/json/pointer=value to set, may be repeated", cxxopts::value<Texts>());
    add("remove", "/json/pointer to remove, may be repeated", cxxopts::value<Texts>());
    add("html", "write the report as a page to this file", cxxopts::value<std::string>());
    add("help", "print this text");
    add("words", "", cxxopts::value<Texts>());
    options.parse_positional({"words"});
    options.positional_help("COMMAND...");
    return options;
}

QStringList textsOf(const cxxopts::ParseResult &parsed, const char *name)
{
    QStringList texts;
    if (parsed.count(name) > 0) {
        for (const std::string &text : parsed[name].as<Texts>())
            texts.append(QString::fromStdString(text));
    }
    return texts;
}

QString textOf(const cxxopts::ParseResult &parsed, const char *name)
{
    if (parsed.count(name) == 0)
        return {};
    return QString::fromStdString(parsed[name].as<std::string>());
}

std::vector<QUrl> urlsOf(const cxxopts::ParseResult &parsed, const char *name)
{
    std::vector<QUrl> urls;
    for (const QString &text : textsOf(parsed, name)) {
        const QUrl url(text, QUrl::StrictMode);
        if (!url.isValid() || url.host().isEmpty() || !url.scheme().startsWith(u"http")) {
            throw LacewingmuxError(ErrorKind::MalformedRequest,
                                   QStringLiteral("--%1 %2: expected http://host:port")
                                           .arg(QString::fromLatin1(name), text));
        }
        urls.push_back(url);
    }
    return urls;
}

QByteArray tokenIn(const QString &path)
{
    if (path.isEmpty())
        return {};
    QFile file(path);
    if (!file.open(QIODevice::ReadOnly))
        throw LacewingmuxError(ErrorKind::MalformedRequest,
                               QStringLiteral("--token-file %1: %2").arg(path, file.errorString()));
    return file.readAll().trimmed();
}

CommandOptions optionsFrom(const cxxopts::ParseResult &parsed)
{
    CommandOptions options;
    options.words = textsOf(parsed, "words");
    options.storeEndpoints = urlsOf(parsed, "store");
    options.operatorEndpoints = urlsOf(parsed, "operator");
    options.token = tokenIn(textOf(parsed, "token-file"));
    options.json = parsed.count("json") > 0;
    options.wait = parsed.count("wait") > 0;
    options.waitTimeout = std::chrono::seconds(parsed["timeout"].as<std::uint32_t>());
    if (parsed.count("revision") > 0)
        options.revision = parsed["revision"].as<std::uint64_t>();
    options.team = textOf(parsed, "team");
    options.author = textOf(parsed, "author");
    options.assignments = textsOf(parsed, "set");
    options.removals = textsOf(parsed, "remove");
    options.htmlFile = textOf(parsed, "html");
    if (parsed.count("help") > 0)
        options.words = {QStringLiteral("help")};
    return options;
}

} // namespace

CommandOptions CommandOptions::parse(int argumentCount, const char *const *arguments)
{
    try {
        cxxopts::Options options = describeOptions();
        return optionsFrom(options.parse(argumentCount, arguments));
    } catch (const cxxopts::exceptions::exception &error) {
        throw LacewingmuxError(ErrorKind::MalformedRequest, QString::fromUtf8(error.what()));
    }
}

QString CommandOptions::helpText()
{
    return QString::fromStdString(describeOptions().help()) + QString::fromLatin1(commandsText);
}

} // namespace lacewingmux
