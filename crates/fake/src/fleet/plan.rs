//! Size, settings files and commands of a fleet.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use settings::fleet::hash_key;

use crate::fleet::forward::TcpForwarder;
use crate::fleet::process::{ProcessCommand, free_address};

/// Model of the service `redaction`.
pub const MODEL: &str = "bulletin";
/// Secret that authenticates the processes to each other.
pub const FLEET_SECRET: &str = "secret of the tests, 32 bytes or more";
/// Key of the client account `mairie`.
pub const ACCOUNT_KEY: &str = "mairie-key";
/// Key of the operator `sysop`.
pub const OPERATOR_KEY: &str = "sysop-key";
/// Failure domains, to which the instances are assigned in turn.
const DOMAINS: [&str; 3] = ["rennes", "brest", "vannes"];

/// Size of a fleet, and settings of its fake endpoints.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Number of control instances.
    pub controls: usize,
    /// Number of entries.
    pub entries: usize,
    /// Number of engines.
    pub engines: usize,
    /// Pause of an engine before the first token if at most half of the prompt is cached, in
    /// milliseconds.
    pub prefill_ms: u64,
    /// Pause of an engine before each further token, in milliseconds.
    pub token_ms: u64,
    /// A prompt that contains this text aborts the engine's process.
    pub poison: Option<String>,
    /// Additional TOML lines at the root of the settings tree.
    pub tree: String,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            controls: 1,
            entries: 1,
            engines: 2,
            prefill_ms: 20,
            token_ms: 5,
            poison: None,
            tree: String::new(),
        }
    }
}

/// An instance to start.
pub struct InstanceSpec {
    /// Name of the instance.
    pub name: String,
    /// Address of its HTTP server.
    pub http: SocketAddr,
    /// Command that starts it.
    pub command: ProcessCommand,
    /// Forwarders to the control instances.
    pub control_forwarders: Vec<TcpForwarder>,
}

/// An endpoint and its agent to start.
pub struct EndpointSpec {
    /// The fake endpoint.
    pub endpoint: InstanceSpec,
    /// The agent of the endpoint.
    pub agent: InstanceSpec,
    /// Address on which the agent accepts links.
    pub link: SocketAddr,
    /// Forwarder from the agent to the endpoint.
    pub forwarder: TcpForwarder,
}

/// All instances to start.
pub struct FleetSpec {
    /// Control instances.
    pub controls: Vec<InstanceSpec>,
    /// Entries.
    pub entries: Vec<InstanceSpec>,
    /// Engines.
    pub engines: Vec<EndpointSpec>,
    /// Endpoint of the plain service.
    pub plain: EndpointSpec,
}

/// Addresses of one control instance.
struct ControlAddress {
    name: String,
    http: SocketAddr,
    link: SocketAddr,
}

/// Writes the files of a fleet into a folder.
struct FileWriter<'a> {
    folder: &'a Path,
    controls: Vec<ControlAddress>,
}

impl FleetPlan {
    /// Writes all files into `folder` and starts the forwarders.
    pub fn write(&self, folder: &Path) -> FleetSpec {
        let controls = (0..self.controls).map(|index| ControlAddress {
            name: format!("control-{index}"),
            http: free_address(),
            link: free_address(),
        });
        let writer = FileWriter {
            folder,
            controls: controls.collect(),
        };
        writer.write("secret", FLEET_SECRET);
        writer.write("tree.toml", &self.tree_text());
        let engines = (0..self.engines).map(|index| self.engine(&writer, index));
        let entries = (0..self.entries).map(|index| writer.entry(index));
        FleetSpec {
            controls: (0..self.controls)
                .map(|index| writer.control(index))
                .collect(),
            entries: entries.collect(),
            engines: engines.collect(),
            plain: writer.endpoint("plain-0", self.engines, &["plain"]),
        }
    }

    fn engine(&self, writer: &FileWriter, index: usize) -> EndpointSpec {
        let token = self.token_ms.to_string();
        let prefill = self.prefill_ms.to_string();
        let mut arguments = vec!["engine", "--token-ms", &token, "--prefill-ms", &prefill];
        if let Some(poison) = &self.poison {
            arguments.extend(["--poison", poison]);
        }
        writer.endpoint(&format!("engine-{index}"), index, &arguments)
    }

    fn tree_text(&self) -> String {
        let mut text = format!(
            "{}\n[services.redaction]\nkind = \"model\"\n[services.redaction.models.{MODEL}]\n\
             [services.guichet]\nkind = \"plain\"\nnon_idempotent_methods = [\"POST\"]\n\
             [accounts.mairie]\nkey_hash = \"{}\"\n\
             [operators.sysop]\nkey_hash = \"{}\"\nrole = \"change\"\n\
             [endpoints.plain-0]\nservice = \"guichet\"\n",
            self.tree,
            hash_key(ACCOUNT_KEY),
            hash_key(OPERATOR_KEY),
        );
        for index in 0..self.engines {
            text.push_str(&format!(
                "[endpoints.engine-{index}]\nservice = \"redaction\"\n"
            ));
        }
        text
    }
}

impl FileWriter<'_> {
    fn control(&self, index: usize) -> InstanceSpec {
        let own = &self.controls[index];
        let mut text = format!(
            "link = \"{}\"\ndata = \"{}\"\nfirst_tree = \"{}\"\n{}",
            own.link,
            self.path(&format!("{}.data", own.name)),
            self.path("tree.toml"),
            self.instance(&own.name, index, own.http),
        );
        for peer in &self.controls {
            let table = format!(
                "[[peers]]\nname = \"{}\"\nlink = \"{}\"\n",
                peer.name, peer.link
            );
            text.push_str(&table);
        }
        self.program("sapphire-control", &own.name, own.http, &text, Vec::new())
    }

    fn entry(&self, index: usize) -> InstanceSpec {
        let name = format!("entry-{index}");
        let http = free_address();
        let control_forwarders = self.control_forwarders();
        let text = format!(
            "control = {}\n{}",
            address_list(&control_forwarders),
            self.instance(&name, index, http)
        );
        self.program("sapphire-entry", &name, http, &text, control_forwarders)
    }

    /// Prepares a fake endpoint with these arguments, and its agent.
    fn endpoint(&self, name: &str, index: usize, arguments: &[&str]) -> EndpointSpec {
        let http = free_address();
        let mut arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
        arguments.extend(["--http".to_owned(), http.to_string()]);
        let forwarder = TcpForwarder::start(http);
        let agent_name = format!("agent-{name}");
        let agent_http = free_address();
        let control_forwarders = self.control_forwarders();
        let link = free_address();
        let text = format!(
            "control = {}\nlink = \"{link}\"\nendpoint = \"{name}\"\nendpoint_http = \"{}\"\n{}",
            address_list(&control_forwarders),
            forwarder.address,
            self.instance(&agent_name, index, agent_http),
        );
        EndpointSpec {
            endpoint: InstanceSpec {
                name: name.to_owned(),
                http,
                command: self.command("sapphire-fake", name, arguments),
                control_forwarders: Vec::new(),
            },
            agent: self.program(
                "sapphire-agent",
                &agent_name,
                agent_http,
                &text,
                control_forwarders,
            ),
            link,
            forwarder,
        }
    }

    fn instance(&self, name: &str, index: usize, http: SocketAddr) -> String {
        format!(
            "[instance]\nname = \"{name}\"\nfailure_domain = \"{}\"\n\
             secret_file = \"{}\"\nhttp = \"{http}\"\n",
            DOMAINS[index % DOMAINS.len()],
            self.path("secret"),
        )
    }

    fn control_forwarders(&self) -> Vec<TcpForwarder> {
        let links = self.controls.iter().map(|control| control.link);
        links.map(TcpForwarder::start).collect()
    }

    fn program(
        &self,
        program: &'static str,
        name: &str,
        http: SocketAddr,
        text: &str,
        control_forwarders: Vec<TcpForwarder>,
    ) -> InstanceSpec {
        let file = format!("{name}.toml");
        self.write(&file, text);
        let arguments = vec!["--settings".to_owned(), self.path(&file)];
        InstanceSpec {
            name: name.to_owned(),
            http,
            command: self.command(program, name, arguments),
            control_forwarders,
        }
    }

    fn command(&self, program: &'static str, name: &str, arguments: Vec<String>) -> ProcessCommand {
        ProcessCommand {
            program,
            arguments,
            log: self.folder.join(format!("{name}.log")),
        }
    }

    fn write(&self, file: &str, text: &str) {
        fs::write(self.folder.join(file), text).expect("the folder can be written");
    }

    fn path(&self, file: &str) -> String {
        self.folder.join(file).display().to_string()
    }
}

fn address_list(forwarders: &[TcpForwarder]) -> String {
    let texts: Vec<String> = forwarders
        .iter()
        .map(|forwarder| format!("\"{}\"", forwarder.address))
        .collect();
    format!("[{}]", texts.join(", "))
}
