//! The nodes of a run and the selectors that name them.

/// A node: the clients, the list, a dispatcher (`d1`, `d2`, ...) or a runner (`r1`, `r2`, ...). Numbers start at 0
/// here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    Clients,
    List,
    Dispatcher(usize),
    Runner(usize),
}

/// The first numbers in addresses: dispatchers have 10 and above, runners 40 and above.
const DISPATCHERS: usize = 10;
const RUNNERS: usize = 40;
pub(crate) const MOST_DISPATCHERS: usize = 25;
pub(crate) const MOST_RUNNERS: usize = 200;

impl Node {
    pub fn number(self) -> u8 {
        match self {
            Node::Clients => 1,
            Node::List => 2,
            Node::Dispatcher(n) => (DISPATCHERS + n) as u8,
            Node::Runner(n) => (RUNNERS + n) as u8,
        }
    }

    pub fn of_number(number: u8) -> Option<Node> {
        match number as usize {
            1 => Some(Node::Clients),
            2 => Some(Node::List),
            n if (DISPATCHERS..DISPATCHERS + MOST_DISPATCHERS).contains(&n) => {
                Some(Node::Dispatcher(n - DISPATCHERS))
            }
            n if (RUNNERS..RUNNERS + MOST_RUNNERS).contains(&n) => Some(Node::Runner(n - RUNNERS)),
            _ => None,
        }
    }

    pub fn name(self) -> String {
        match self {
            Node::Clients => "clients".to_string(),
            Node::List => "list".to_string(),
            Node::Dispatcher(n) => format!("d{}", n + 1),
            Node::Runner(n) => format!("r{}", n + 1),
        }
    }
}

/// The numbers of dispatchers and runners, and the sites.
#[derive(Clone, Debug)]
pub struct Participants {
    pub sites: Vec<String>,
    pub dispatchers: usize,
    pub runners: usize,
}

impl Participants {
    /// The index of the site of a dispatcher or runner. They are assigned to the sites in turn.
    pub fn site_of(&self, node: Node) -> Option<usize> {
        match node {
            Node::Dispatcher(n) | Node::Runner(n) => Some(n % self.sites.len()),
            _ => None,
        }
    }

    pub fn all(&self) -> Vec<Node> {
        let dispatchers = (0..self.dispatchers).map(Node::Dispatcher);
        let runners = (0..self.runners).map(Node::Runner);
        [Node::Clients, Node::List]
            .into_iter()
            .chain(dispatchers)
            .chain(runners)
            .collect()
    }

    /// The nodes that a selector names: `d2`, `r1`, `dispatchers`, `runners`, `clients`, `list`, `all`, `site:a`,
    /// `d@a` and `r@a` (those in a site), or several of these joined by `+`. Numbers above the number of nodes wrap
    /// around, so that a scenario runs with any number of processes.
    pub fn select(&self, text: &str) -> Result<Vec<Node>, String> {
        let mut found = Vec::new();
        for word in text.split('+').map(str::trim) {
            let part = self.word(word)?;
            found.extend(part);
        }
        found.sort_unstable();
        found.dedup();
        Ok(found)
    }

    fn word(&self, word: &str) -> Result<Vec<Node>, String> {
        let numbered = |prefix: char, most: usize| -> Option<usize> {
            let n: usize = word.strip_prefix(prefix)?.parse().ok()?;
            (n >= 1).then(|| (n - 1) % most.max(1))
        };
        let site = |name: &str| -> Result<usize, String> {
            let known = self.sites.iter().position(|site| site == name);
            known.ok_or_else(|| format!("'{name}' is no site; there are {}", self.sites.join(", ")))
        };
        let within = |site: usize| move |node: &Node| self.site_of(*node) == Some(site);
        let all = self.all();
        let is_d = |node: &Node| matches!(node, Node::Dispatcher(_));
        let is_r = |node: &Node| matches!(node, Node::Runner(_));
        Ok(match word {
            "all" => all,
            "clients" => vec![Node::Clients],
            "list" => vec![Node::List],
            "dispatchers" => all.into_iter().filter(is_d).collect(),
            "runners" => all.into_iter().filter(is_r).collect(),
            _ => {
                if let Some(name) = word.strip_prefix("site:") {
                    all.into_iter().filter(within(site(name)?)).collect()
                } else if let Some(name) = word.strip_prefix("d@") {
                    all.into_iter()
                        .filter(within(site(name)?))
                        .filter(is_d)
                        .collect()
                } else if let Some(name) = word.strip_prefix("r@") {
                    all.into_iter()
                        .filter(within(site(name)?))
                        .filter(is_r)
                        .collect()
                } else if let Some(n) = numbered('d', self.dispatchers) {
                    vec![Node::Dispatcher(n)]
                } else if let Some(n) = numbered('r', self.runners) {
                    vec![Node::Runner(n)]
                } else {
                    return Err(format!(
                        "'{word}' selects nobody; it is one of d1.., r1.., dispatchers, runners, clients, list, all, \
                         site:NAME, d@SITE, r@SITE, or several with +"
                    ));
                }
            }
        })
    }

    /// The links that a selector names: `A>B` in one direction, `A<>B` in both directions, `A` all from and to it.
    pub fn links(&self, text: &str) -> Result<Vec<(Node, Node)>, String> {
        let (from, to, both) = match (text.split_once("<>"), text.split_once('>')) {
            (Some((from, to)), _) => (from, to, true),
            (None, Some((from, to))) => (from, to, false),
            (None, None) => (text, "all", true),
        };
        let (from, to) = (self.select(from)?, self.select(to)?);
        let mut links = Vec::new();
        for &a in &from {
            for &b in to.iter().filter(|b| **b != a) {
                links.push((a, b));
                links.extend(both.then_some((b, a)));
            }
        }
        links.sort_unstable();
        links.dedup();
        Ok(links)
    }
}
